package mesh

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// outLink is this process's stream to another one, opened again when it fails.
type outLink struct {
	mesh     *Mesh
	address  string
	role     atomic.Int32 // a linkRole
	entry    atomic.Bool  // the process places work
	wake     chan struct{}
	anew     chan struct{} // the process was started anew
	changed  chan struct{} // the role is another one
	openedAt monotonic.Time
	ctx      context.Context
	close    context.CancelFunc

	// Guarded by the mesh's lock.
	dataCentre string
	wantedAt   monotonic.Time

	mu       sync.Mutex
	born     uint64 // incarnation of the process that is known last, 0 for none
	up       bool
	news     *wire.MeshFrame // waits to be sent; nil when nothing does
	want     bool            // ask for the state with the next ping
	pings    map[uint64]monotonic.Time
	sequence uint64
	pongAt   monotonic.Time
}

func newOutLink(m *Mesh, address string) *outLink {
	now := monotonic.Now()
	l := &outLink{
		mesh: m, address: address, wake: make(chan struct{}, 1), anew: make(chan struct{}, 1),
		changed: make(chan struct{}, 1), openedAt: now, wantedAt: now,
	}
	l.ctx, l.close = context.WithCancel(m.ctx)
	return l
}

func (l *outLink) hasRole(role linkRole) bool { return linkRole(l.role.Load()) == role }

// setRole changes what the link is for; a ping goes out at once, as others are
// due at other times.
func (l *outLink) setRole(role linkRole) {
	if linkRole(l.role.Swap(int32(role))) == role {
		return
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *outLink) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// isLost reports whether the process does not answer any more, or never did.
func (l *outLink) isLost() bool {
	return !l.isUp() && monotonic.Since(l.heardAt()) > pingsMissed*pingInterval
}

// pingEvery is shorter on links over which news goes, as their loss is noticed
// by it.
func (l *outLink) pingEvery() time.Duration {
	if l.hasRole(roleNear) || l.hasRole(roleRelay) || !l.mesh.options.Self.Entry {
		return pingInterval
	}
	return idlePing
}

func (l *outLink) heardAt() monotonic.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.pongAt, l.openedAt)
}

// enqueue adds news that goes out at once.
func (l *outLink) enqueue(news *wire.MeshFrame) { l.add(news, true) }

// add adds news while the link is up; a link that opens tells all it knows. What
// is not urgent goes with the next frame, a ping at the latest.
func (l *outLink) add(news *wire.MeshFrame, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return
	}
	if l.news == nil {
		l.news = &wire.MeshFrame{}
	}
	l.news.Processes = append(l.news.Processes, news.Processes...)
	l.news.Endpoints = append(l.news.Endpoints, news.Endpoints...)
	if len(l.news.Work) < maxQueuedNews {
		l.news.Work = append(l.news.Work, news.Work...)
	}
	if len(l.news.Relayed) < maxQueuedNews {
		l.news.Relayed = append(l.news.Relayed, news.Relayed...)
	}
	if urgent {
		l.signal()
	}
}

func (l *outLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps the link open until it is closed or the process is silent for long.
func (l *outLink) run() {
	ctx := l.ctx
	defer l.close()
	delay := l.mesh.redial
	for ctx.Err() == nil {
		began := monotonic.Now()
		err := l.exchange(ctx)
		if ctx.Err() != nil {
			return
		}
		l.setUp(false)
		l.mesh.connect()
		if monotonic.Since(l.heardAt()) > forgetAfter {
			l.mesh.abandoned(l)
			return
		}
		l.mesh.logger.RateLimitedWarn(l.address).Str("address", l.address).Stringer("role", linkRole(l.role.Load())).
			Dur("lasted", monotonic.Since(began)).Dur("silence", monotonic.Since(l.heardAt())).Err(err).
			Msg("A link to a process is lost.")
		if errors.Is(err, errStartedAnew) {
			continue
		}
		if monotonic.Since(began) > 2*pingsMissed*pingInterval {
			delay = l.mesh.redial
		}
		select {
		case <-ctx.Done():
			return
		case <-l.anew:
			delay = l.mesh.redial
			continue
		case <-time.After(delay):
		}
		delay = min(2*delay, redialMost)
	}
}

// known takes the incarnation of the process. A newer one than before ends the
// wait before the next dial, or the stream to what the process was.
func (l *outLink) known(incarnation uint64) {
	l.mu.Lock()
	replaced := l.born != 0 && l.born < incarnation
	l.born = max(l.born, incarnation)
	l.mu.Unlock()
	if !replaced {
		return
	}
	select {
	case l.anew <- struct{}{}:
	default:
	}
}

func (l *outLink) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.news = up, nil
	l.pings = make(map[uint64]monotonic.Time)
}

// errStartedAnew ends a stream to what a process was before.
var errStartedAnew = errors.New("the process was started anew")

// exchange runs one stream until it fails.
func (l *outLink) exchange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := l.mesh.options.Dial(l.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	alive := time.AfterFunc(pingsMissed*pingInterval, cancel)
	defer alive.Stop()
	stream, err := wire.NewMeshClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	l.setUp(true)
	select {
	case <-l.anew: // it was told while this stream was opened
	default:
	}
	if err := stream.Send(l.hello()); err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- l.receive(stream, func() { alive.Reset(pingsMissed * l.pingEvery()) }) }()
	l.mesh.connect()
	l.signal()
	ping := time.NewTimer(l.pingEvery())
	defer ping.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-l.anew:
			return errStartedAnew
		case <-l.changed:
			ping.Reset(0)
			alive.Reset(pingsMissed * l.pingEvery())
		case <-ping.C:
			if err := stream.Send(l.take(true)); err != nil {
				return err
			}
			ping.Reset(l.pingEvery())
		case <-l.wake:
			if !wait.For(ctx, batchDelay) {
				return ctx.Err()
			}
			if frame := l.take(false); frame != nil {
				if err := stream.Send(frame); err != nil {
					return err
				}
			}
		}
	}
}

// hello tells who this process is and all that the other one is to know.
func (l *outLink) hello() *wire.MeshFrame {
	hello := l.mesh.hello()
	hello.Ping = l.ping()
	if l.hasRole(roleNear) {
		whole := l.whole()
		hello.Direct, hello.Endpoints, hello.Work = l.entry.Load(), whole.Endpoints, whole.Work
	}
	return hello
}

// whole is all that a near process is told of endpoints and work.
func (l *outLink) whole() *wire.MeshFrame {
	whole := &wire.MeshFrame{Endpoints: l.mesh.directory.EndpointRecords()}
	if l.entry.Load() {
		whole.Work = l.mesh.book.OwnEvents()
	}
	return whole
}

// take returns the next frame, nil when there is nothing to say.
func (l *outLink) take(withPing bool) *wire.MeshFrame {
	l.mu.Lock()
	frame := l.news
	l.news = nil
	withPing = withPing || l.want
	l.mu.Unlock()
	if withPing {
		if frame == nil {
			frame = &wire.MeshFrame{}
		}
		frame.Ping = l.ping()
	}
	return frame
}

func (l *outLink) ping() *wire.MeshPing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.pings[l.sequence] = monotonic.Now()
	p := &wire.MeshPing{Sequence: l.sequence, Index: l.mesh.store.State().Index, WantState: l.want}
	l.want = false
	return p
}

// receive takes the pongs of a stream.
func (l *outLink) receive(stream wire.Mesh_ExchangeClient, alive func()) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		l.mesh.takeProcesses(frame)
		if frame.Pong != nil {
			l.pong(frame.Pong, alive)
		}
	}
}

func (l *outLink) pong(p *wire.MeshPong, alive func()) {
	if p.State != nil {
		l.takeState(p.State)
	}
	l.mu.Lock()
	sentAt, known := l.pings[p.Sequence]
	delete(l.pings, p.Sequence)
	l.mu.Unlock()
	behind := p.Index > l.mesh.store.State().Index
	if known {
		alive()
		l.mu.Lock()
		l.pongAt = monotonic.Now()
		l.mu.Unlock()
		if p.Current {
			behind = l.mesh.store.Confirm(p.Index, sentAt.Add(-time.Duration(p.AgeMs)*time.Millisecond))
		}
	}
	// What a notice says of freshness may have been held up: only a ping proves it.
	isNews := !known && p.Current && !l.mesh.store.IsFresh()
	if isNews || behind && l.mesh.mayFetch() {
		l.mu.Lock()
		l.want = true
		l.mu.Unlock()
		l.signal()
	}
}

func (l *outLink) takeState(message *wire.CatalogueState) {
	l.mesh.fetched()
	state, err := catalogue.FromWire(message, l.mesh.store.State(), l.mesh.options.Decode)
	if err != nil {
		l.mesh.logger.Error().Str("address", l.address).Uint64("index", message.Index).Err(err).
			Msg("A state from another process can't be used; check that all processes run one version.")
		return
	}
	l.mesh.store.Update(state, l.address)
}
