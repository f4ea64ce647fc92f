package mesh

import (
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// senderTimeout is the time without a ping after which the stream of another process ends.
const senderTimeout = maxMissedPings * idlePingInterval

var errSilentSender = errors.New("the sender of a mesh stream is silent")

// inStream is the stream that another process has opened to this one.
type inStream struct {
	changed chan struct{} // the catalogue state has changed or is fresh again
	direct  bool          // the sender publishes its work on this stream
}

// Exchange implements wire.MeshServer. It applies the updates of another process and
// answers its pings, until the stream ends or no ping comes for senderTimeout. The first frame
// that it sends lists the processes that this one knows.
func (m *Mesh) Exchange(stream wire.Mesh_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Sender == nil {
		return fault.New(fault.InvalidRequest, "the first frame of a mesh stream has no sender")
	}
	sender := first.Sender.Incarnation
	if first.Direct {
		m.scheduler.RemoveRemote(sender)
	}
	s := m.addInStream(sender, first.Direct)
	defer m.removeInStream(sender, s)
	m.applyFrame(s, sender, first)
	if err := stream.Send(m.hello()); err != nil {
		return err
	}
	pongs := make(chan *wire.MeshPong, 1)
	go func() {
		defer close(pongs)
		for frame := first; ; {
			if frame.Ping != nil {
				select {
				case pongs <- m.newPong(frame.Ping):
				case <-stream.Context().Done():
					return
				}
			}
			if frame, err = stream.Recv(); err != nil {
				return
			}
			m.applyFrame(s, sender, frame)
		}
	}()
	silence := time.NewTimer(senderTimeout)
	defer silence.Stop()
	for {
		var pong *wire.MeshPong
		open := true
		select {
		case <-silence.C:
			return errSilentSender
		case pong, open = <-pongs:
			silence.Reset(senderTimeout)
		case <-s.changed:
			pong = &wire.MeshPong{Index: m.store.State().Index, Current: m.store.IsFresh()}
		}
		if !open {
			return nil
		}
		if err := stream.Send(&wire.MeshFrame{Pong: pong}); err != nil {
			return err
		}
	}
}

func (m *Mesh) addInStream(sender uint64, direct bool) *inStream {
	s := &inStream{changed: make(chan struct{}, 1), direct: direct}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inStreams[sender] = s
	return s
}

// removeInStream removes a stream that has ended. It also removes the work that the sender
// published on it, unless the sender opens another stream within lostLinkWorkTimeout or
// relays forward its work.
func (m *Mesh) removeInStream(sender uint64, s *inStream) {
	m.mu.Lock()
	replaced := m.inStreams[sender] != s
	if !replaced {
		delete(m.inStreams, sender)
	}
	direct := s.direct
	m.mu.Unlock()
	if replaced || !direct {
		return
	}
	time.AfterFunc(lostLinkWorkTimeout, func() {
		m.mu.Lock()
		returned := m.inStreams[sender] != nil || m.isRelayed(sender)
		m.mu.Unlock()
		if !returned {
			m.scheduler.RemoveRemote(sender)
		}
	})
}

// applyFrame applies the updates in a frame.
func (m *Mesh) applyFrame(s *inStream, sender uint64, frame *wire.MeshFrame) {
	m.applyProcesses(frame)
	m.directory.MergeEndpoints(frame.Endpoints)
	if len(frame.Work) > 0 {
		m.mu.Lock()
		s.direct = true
		m.mu.Unlock()
		m.scheduler.ApplyRemote(sender, frame.Work)
	}
	m.parts.Apply(frame.Parts)
	for _, update := range frame.Relayed {
		m.applyRelayed(update)
	}
}

// applyProcesses merges the process records of a frame and publishes those that are new.
// The sender and this process run, so they are marked as running if they were marked as
// gone.
func (m *Mesh) applyProcesses(frame *wire.MeshFrame) {
	records := frame.Processes
	if frame.Sender != nil {
		records = append(records, frame.Sender)
	}
	if len(records) == 0 {
		return
	}
	accepted := m.directory.MergeProcesses(records)
	if frame.Sender != nil {
		if revived := m.directory.Revive(frame.Sender.Address, frame.Sender.Incarnation); revived != nil {
			accepted = append(accepted, revived)
		}
		m.mu.Lock()
		m.synced[frame.Sender.Address] = true
		m.mu.Unlock()
	}
	if revived := m.directory.Revive(m.options.Self.Address, m.options.Self.Incarnation); revived != nil {
		m.mu.Lock()
		m.self = revived
		m.mu.Unlock()
		accepted = append(accepted, revived)
	}
	if len(accepted) > 0 {
		m.reconcile()
		m.publishProcesses(accepted)
	}
}

// hello returns the first frame of a stream, with this process and all known ones.
func (m *Mesh) hello() *wire.MeshFrame {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.MeshFrame{Sender: m.self, Processes: m.directory.ProcessRecords()}
}

// newPong answers a ping with the index and the age of the state, and with the state itself
// if the ping asks for it and the sender's is older.
func (m *Mesh) newPong(p *wire.MeshPing) *wire.MeshPong {
	state := m.store.State()
	pong := &wire.MeshPong{Sequence: p.Sequence, Index: state.Index}
	if age, known := m.store.Age(); known {
		pong.Current, pong.AgeMs = true, uint32(age.Milliseconds())+1
	}
	if p.WantState && p.Index < state.Index {
		pong.State = state.ToWire()
	}
	return pong
}
