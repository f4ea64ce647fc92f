package mesh

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wait"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// outLink is this process's stream to another one, opened again when it fails.
type outLink struct {
	mesh     *Mesh
	address  string
	entry    atomic.Bool // the process places work
	wake     chan struct{}
	anew     chan struct{} // the process was started anew
	openedAt steady.Time

	mu       sync.Mutex
	born     uint64 // incarnation of the process that is known last, 0 for none
	up       bool
	news     *wire.MeshFrame // waits to be sent; nil when nothing does
	want     bool            // ask for the state with the next ping
	pings    map[uint64]steady.Time
	sequence uint64
	pongAt   steady.Time
}

func (l *outLink) heardAt() steady.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.pongAt, l.openedAt)
}

// enqueue adds news while the link is up; a link that opens tells all it knows.
func (l *outLink) enqueue(news *wire.MeshFrame) {
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
	l.signal()
}

func (l *outLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps the link open until ctx ends or the process is silent for long.
func (l *outLink) run(ctx context.Context) {
	delay := l.mesh.redial
	for ctx.Err() == nil {
		began := steady.Now()
		err := l.exchange(ctx)
		if ctx.Err() != nil {
			return
		}
		l.setUp(false)
		if steady.Since(l.heardAt()) > forgetAfter {
			l.mesh.abandoned(l)
			return
		}
		l.mesh.logger.Repeated(l.address).Str("address", l.address).
			Dur("lasted", steady.Since(began)).Dur("silence", steady.Since(l.heardAt())).Err(err).
			Msg("A link to a process is lost.")
		if errors.Is(err, errStartedAnew) {
			continue
		}
		if steady.Since(began) > 2*pongTimeout {
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
	l.pings = make(map[uint64]steady.Time)
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
	opened := time.AfterFunc(pongTimeout, cancel)
	defer opened.Stop()
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
	go func() { received <- l.receive(stream, func() { opened.Reset(pongTimeout) }) }()
	l.signal()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-l.anew:
			return errStartedAnew
		case <-ping.C:
			if err := stream.Send(l.take(true)); err != nil {
				return err
			}
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

// hello tells who this process is and all that it knows.
func (l *outLink) hello() *wire.MeshFrame {
	hello := &wire.MeshFrame{
		Sender:    l.mesh.options.Self,
		Processes: l.mesh.directory.Processes(),
		Endpoints: l.mesh.directory.Records(),
		Ping:      l.ping(),
	}
	if l.entry.Load() {
		hello.Work = l.mesh.book.Own()
	}
	return hello
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
	l.pings[l.sequence] = steady.Now()
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
		l.pongAt = steady.Now()
		l.mu.Unlock()
		if p.Current {
			behind = l.mesh.store.Confirm(p.Index, sentAt.Add(-time.Duration(p.AgeMs)*time.Millisecond))
		}
	}
	if behind && l.mesh.mayFetch() {
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
	l.mesh.store.Take(state, l.address)
}
