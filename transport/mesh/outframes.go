package mesh

import (
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// hello returns the first frame of the stream: this process, the known processes, a ping
// and, on a near link, all endpoint records and work.
func (l *outLink) hello() *wire.MeshFrame {
	hello := l.mesh.hello()
	l.mu.Lock()
	hello.Ping = l.newPing()
	l.mu.Unlock()
	if l.hasRole(roleNear) {
		full := l.fullState()
		hello.Direct, hello.Endpoints, hello.Work, hello.Parts = l.entry.Load(), full.Endpoints, full.Work, full.Parts
	}
	return hello
}

// fullState returns a frame with all endpoint records and, if the link leads to an entry,
// all work of this one.
func (l *outLink) fullState() *wire.MeshFrame {
	state := &wire.MeshFrame{Endpoints: l.mesh.directory.EndpointRecords()}
	if l.entry.Load() {
		state.Work = l.mesh.scheduler.OwnEvents()
		state.Parts = l.mesh.parts.Events()
	}
	return state
}

// nextFrame returns the pending updates, with a ping if one is asked for, the state is to
// be requested or the process is to confirm the updates. It returns nil if there is nothing
// to send.
func (l *outLink) nextFrame(withPing bool) *wire.MeshFrame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frame := l.pending
	l.pending = nil
	if withPing || l.wantState || l.hasUnsentConfirmation() {
		if frame == nil {
			frame = &wire.MeshFrame{}
		}
		frame.Ping = l.newPing()
	}
	return frame
}

// hasUnsentConfirmation reports whether a confirmation waits for its ping to be sent. The
// caller holds l.mu.
func (l *outLink) hasUnsentConfirmation() bool {
	return slices.ContainsFunc(l.confirmations, func(c *confirmation) bool { return c.ping == 0 })
}

// newPing returns the next ping and records its send time. Confirmations that wait for a
// ping wait for its pong. The caller holds l.mu.
func (l *outLink) newPing() *wire.MeshPing {
	l.pingSequence++
	for _, c := range l.confirmations {
		if c.ping == 0 {
			c.ping = l.pingSequence
		}
	}
	l.sentPings[l.pingSequence] = monotonic.Now()
	p := &wire.MeshPing{Sequence: l.pingSequence, Index: l.mesh.store.State().Index, WantState: l.wantState}
	l.wantState = false
	return p
}
