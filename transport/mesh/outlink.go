package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// outLink is the link from this process to another one: a stream that is opened again when
// it fails.
type outLink struct {
	mesh        *Mesh
	address     string
	role        atomic.Int32 // a linkRole
	entry       atomic.Bool  // the process is an entry
	wake        chan struct{}
	restarted   chan struct{} // the process has restarted
	roleChanged chan struct{}
	openedAt    monotonic.Time
	ctx         context.Context
	close       context.CancelFunc

	// Guarded by Mesh.mu.
	dataCentre string
	neededAt   monotonic.Time

	mu           sync.Mutex
	incarnation  uint64 // latest known one of the process, 0 for none
	up           bool
	pending      *wire.MeshFrame           // updates to be sent, nil for none
	wantState    bool                      // request the state with the next ping
	sentPings    map[uint64]monotonic.Time // send times of pings without a pong, by sequence number
	pingSequence uint64
	lastPongAt   monotonic.Time

	confirmations []*confirmation // outstanding
}

func newOutLink(m *Mesh, address string) *outLink {
	now := monotonic.Now()
	l := &outLink{
		mesh: m, address: address, wake: make(chan struct{}, 1), restarted: make(chan struct{}, 1),
		roleChanged: make(chan struct{}, 1), openedAt: now, neededAt: now,
	}
	l.ctx, l.close = context.WithCancel(m.ctx)
	return l
}

func (l *outLink) hasRole(role linkRole) bool { return linkRole(l.role.Load()) == role }

// setRole changes the role of the link. A change causes a ping at once, because the ping
// interval depends on the role.
func (l *outLink) setRole(role linkRole) {
	if linkRole(l.role.Swap(int32(role))) == role {
		return
	}
	select {
	case l.roleChanged <- struct{}{}:
	default:
	}
}

func (l *outLink) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// isLost reports whether the link is down and the process has answered no ping within
// maxMissedPings intervals, nor was the link created within them.
func (l *outLink) isLost() bool {
	return !l.isUp() && monotonic.Since(l.lastHeardAt()) > maxMissedPings*pingInterval
}

// pingPeriod returns the ping interval of the link. It is shorter on links that carry
// updates, because missing pongs reveal that they are lost, and on all links of a control
// process.
func (l *outLink) pingPeriod() time.Duration {
	if l.hasRole(roleNear) || l.hasRole(roleRelay) || !l.mesh.options.Self.Entry {
		return pingInterval
	}
	return idlePingInterval
}

// lastHeardAt returns the time of the latest pong, or of the link's creation before the
// first one.
func (l *outLink) lastHeardAt() monotonic.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.lastPongAt, l.openedAt)
}

// enqueueUrgent queues an update that is sent after batchDelay at the latest.
func (l *outLink) enqueueUrgent(update *wire.MeshFrame) { l.enqueue(update, true) }

// enqueue queues an update if the link is up, and drops it otherwise. A near link sends all
// endpoint records and work when it opens, and syncRelay sends them to a relay that comes
// into use. Work and relayed updates are also dropped while maxQueuedUpdates of them wait.
// An update that is not urgent is sent with the next frame, which is the next ping at the
// latest.
func (l *outLink) enqueue(update *wire.MeshFrame, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return
	}
	if l.pending == nil {
		l.pending = &wire.MeshFrame{}
	}
	l.pending.Processes = append(l.pending.Processes, update.Processes...)
	l.pending.Endpoints = append(l.pending.Endpoints, update.Endpoints...)
	if len(l.pending.Work) < maxQueuedUpdates {
		l.pending.Work = append(l.pending.Work, update.Work...)
	}
	if len(l.pending.Parts) < maxQueuedUpdates {
		l.pending.Parts = append(l.pending.Parts, update.Parts...)
	}
	if len(l.pending.Relayed) < maxQueuedUpdates {
		l.pending.Relayed = append(l.pending.Relayed, update.Relayed...)
	}
	if urgent {
		l.wakeSender()
	}
}

// requestConfirmation has the process confirm all updates that are queued so far, with the
// pong to a ping that is sent with them. It reports whether the link is up; if not, the
// confirmation gets no result.
func (l *outLink) requestConfirmation(c *confirmation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return false
	}
	l.confirmations = append(l.confirmations, c)
	l.wakeSender()
	return true
}

// endConfirmations ends the confirmations that wait for the pong to a ping up to the
// sequence number. The caller holds l.mu.
func (l *outLink) endConfirmations(sequence uint64) {
	l.confirmations = slices.DeleteFunc(l.confirmations, func(c *confirmation) bool {
		if c.ping == 0 || c.ping > sequence {
			return false
		}
		c.end(true)
		return true
	})
}

func (l *outLink) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps the link open until it is closed or the process has not answered for
// goneTimeout.
func (l *outLink) run() {
	ctx := l.ctx
	defer l.close()
	defer l.setUp(false)
	delay := l.mesh.redialDelay
	for ctx.Err() == nil {
		startedAt := monotonic.Now()
		err := l.runStream(ctx)
		if ctx.Err() != nil {
			return
		}
		l.setUp(false)
		l.mesh.reconcile()
		if monotonic.Since(l.lastHeardAt()) > goneTimeout {
			l.mesh.removeLink(l)
			return
		}
		l.mesh.logger.RateLimitedWarn(l.address).Str("address", l.address).Stringer("role", linkRole(l.role.Load())).
			Dur("lasted", monotonic.Since(startedAt)).Dur("silence", monotonic.Since(l.lastHeardAt())).Err(err).
			Msg("The link to a process was lost.")
		if errors.Is(err, errRestarted) {
			continue
		}
		// A new stream without a pong is normally ended after maxMissedPings intervals. One
		// that lasted twice as long counts as successful and resets the delay.
		if monotonic.Since(startedAt) > 2*maxMissedPings*pingInterval {
			delay = l.mesh.redialDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-l.restarted:
			delay = l.mesh.redialDelay
			continue
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// setIncarnation records the incarnation of the process. If the process has restarted, it
// ends the wait before the next dial, or the stream to the previous incarnation.
func (l *outLink) setIncarnation(incarnation uint64) {
	l.mu.Lock()
	replaced := l.incarnation != 0 && l.incarnation < incarnation
	l.incarnation = max(l.incarnation, incarnation)
	l.mu.Unlock()
	if !replaced {
		return
	}
	select {
	case l.restarted <- struct{}{}:
	default:
	}
}

// setUp records that a stream was opened or has ended, and discards pending updates and
// outstanding confirmations.
func (l *outLink) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.confirmations {
		c.end(false)
	}
	l.up, l.pending, l.confirmations = up, nil, nil
	l.sentPings = make(map[uint64]monotonic.Time)
}

// errRestarted ends a stream to the previous incarnation of a process.
var errRestarted = errors.New("the process has restarted")

// runStream connects to the process and runs one stream until it fails, the pings are not
// answered or the process restarts.
func (l *outLink) runStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := l.mesh.options.Dial(l.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	idle := time.AfterFunc(maxMissedPings*pingInterval, cancel)
	defer idle.Stop()
	stream, err := wire.NewMeshClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	l.setUp(true)
	select {
	case <-l.restarted: // this stream already leads to the restarted process
	default:
	}
	if err := stream.Send(l.hello()); err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- l.receive(stream, func() { idle.Reset(maxMissedPings * l.pingPeriod()) }) }()
	l.mesh.reconcile()
	l.wakeSender()
	ping := time.NewTimer(l.pingPeriod())
	defer ping.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-l.restarted:
			return errRestarted
		case <-l.roleChanged:
			ping.Reset(0)
			idle.Reset(maxMissedPings * l.pingPeriod())
		case <-ping.C:
			if err := stream.Send(l.nextFrame(true)); err != nil {
				return err
			}
			ping.Reset(l.pingPeriod())
		case <-l.wake:
			if !wait.For(ctx, batchDelay) {
				return ctx.Err()
			}
			if frame := l.nextFrame(false); frame != nil {
				if err := stream.Send(frame); err != nil {
					return err
				}
			}
		}
	}
}

// receive handles the frames that the process sends on a stream, until it fails. It calls
// answered with each pong to a ping of this stream.
func (l *outLink) receive(stream wire.Mesh_ExchangeClient, answered func()) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		l.mesh.applyProcesses(frame)
		if frame.Pong != nil {
			l.handlePong(frame.Pong, answered)
		}
	}
}

// handlePong handles a pong or a notice, which answers no ping. It confirms the state or
// requests a newer one.
func (l *outLink) handlePong(p *wire.MeshPong, answered func()) {
	if p.State != nil {
		l.applyState(p.State)
	}
	l.mu.Lock()
	sentAt, known := l.sentPings[p.Sequence]
	delete(l.sentPings, p.Sequence)
	l.mu.Unlock()
	behind := p.Index > l.mesh.store.State().Index
	if known {
		answered()
		l.mu.Lock()
		l.lastPongAt = monotonic.Now()
		l.endConfirmations(p.Sequence)
		l.mu.Unlock()
		if p.Current {
			behind = l.mesh.store.Confirm(p.Index, sentAt.Add(-time.Duration(p.AgeMs)*time.Millisecond))
		}
	}
	// A notice may have been delayed in transit, so it does not prove that the state is
	// fresh. Only the pong to a ping does.
	reportsFresh := !known && p.Current && !l.mesh.store.IsFresh()
	if reportsFresh || behind && l.mesh.startStateFetch() {
		l.mu.Lock()
		l.wantState = true
		l.mu.Unlock()
		l.wakeSender()
	}
}

// applyState decodes a state that the process has sent and stores it.
func (l *outLink) applyState(message *wire.CatalogueState) {
	l.mesh.endStateFetch()
	state, err := catalogue.FromWire(message, l.mesh.store.State(), l.mesh.options.Decode)
	if err != nil {
		l.mesh.logger.Error().Str("address", l.address).Uint64("index", message.Index).Err(err).
			Msg("The state from another process can't be decoded; check that all processes run the same version.")
		return
	}
	l.mesh.store.Update(state, l.address)
}
