package mesh

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// inStream is another process's stream to this one.
type inStream struct{ notice chan struct{} }

// Exchange takes another process's news and answers its pings.
func (m *Mesh) Exchange(stream wire.Mesh_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Sender == nil {
		return fault.New(fault.InvalidRequest, "the first frame of a link names its sender")
	}
	sender := first.Sender.Incarnation
	m.book.Forget(sender)
	s := m.enter(sender)
	defer m.leave(sender, s)
	pongs := make(chan *wire.MeshPong, 1)
	go func() {
		defer close(pongs)
		for frame := first; ; {
			m.takeNews(sender, frame)
			if frame.Ping != nil {
				select {
				case pongs <- m.answer(frame.Ping):
				case <-stream.Context().Done():
					return
				}
			}
			if frame, err = stream.Recv(); err != nil {
				return
			}
		}
	}()
	for {
		var pong *wire.MeshPong
		open := true
		select {
		case pong, open = <-pongs:
		case <-s.notice:
			pong = &wire.MeshPong{Index: m.store.State().Index}
		}
		if !open {
			return nil
		}
		if err := stream.Send(&wire.MeshFrame{Pong: pong}); err != nil {
			return err
		}
	}
}

func (m *Mesh) enter(sender uint64) *inStream {
	s := &inStream{notice: make(chan struct{}, 1)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incoming[sender] = s
	return s
}

// leave forgets the sender's work unless it opens another stream soon.
func (m *Mesh) leave(sender uint64, s *inStream) {
	m.mu.Lock()
	replaced := m.incoming[sender] != s
	if !replaced {
		delete(m.incoming, sender)
	}
	m.mu.Unlock()
	if replaced {
		return
	}
	time.AfterFunc(workKept, func() {
		m.mu.Lock()
		back := m.incoming[sender] != nil
		m.mu.Unlock()
		if !back {
			m.book.Forget(sender)
		}
	})
}

func (m *Mesh) takeNews(sender uint64, frame *wire.MeshFrame) {
	processes := frame.Processes
	if frame.Sender != nil {
		processes = append(processes, frame.Sender)
	}
	if len(processes) > 0 {
		if news := m.directory.MergeProcesses(processes); len(news) > 0 {
			m.connect()
			m.broadcast(&wire.MeshFrame{Processes: news})
		}
	}
	if frame.Sender != nil {
		m.mu.Lock()
		m.heard[frame.Sender.Address] = true
		m.mu.Unlock()
	}
	m.directory.MergeEndpoints(frame.Endpoints)
	if len(frame.Work) > 0 {
		m.book.ApplyRemote(sender, frame.Work)
	}
}

// answer tells the state's index and age, and the state itself when asked.
func (m *Mesh) answer(p *wire.MeshPing) *wire.MeshPong {
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
