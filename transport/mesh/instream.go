package mesh

import (
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// inStream is another process's stream to this one.
type inStream struct {
	notice chan struct{}
	direct bool // the sender tells of its work itself
}

// Exchange takes another process's news and answers its pings. The first answer
// tells the processes that this one knows.
func (m *Mesh) Exchange(stream wire.Mesh_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Sender == nil {
		return fault.New(fault.InvalidRequest, "the first frame of a link names its sender")
	}
	sender := first.Sender.Incarnation
	if first.Direct {
		m.book.RemoveRemote(sender)
	}
	s := m.enter(sender, first.Direct)
	defer m.leave(sender, s)
	m.takeNews(s, sender, first)
	if err := stream.Send(m.hello()); err != nil {
		return err
	}
	pongs := make(chan *wire.MeshPong, 1)
	go func() {
		defer close(pongs)
		for frame := first; ; {
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
			m.takeNews(s, sender, frame)
		}
	}()
	for {
		var pong *wire.MeshPong
		open := true
		select {
		case pong, open = <-pongs:
		case <-s.notice:
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

func (m *Mesh) enter(sender uint64, direct bool) *inStream {
	s := &inStream{notice: make(chan struct{}, 1), direct: direct}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incoming[sender] = s
	return s
}

// leave forgets the work of which the sender told itself, unless it opens
// another stream soon or relays tell of it.
func (m *Mesh) leave(sender uint64, s *inStream) {
	m.mu.Lock()
	replaced := m.incoming[sender] != s
	if !replaced {
		delete(m.incoming, sender)
	}
	direct := s.direct
	m.mu.Unlock()
	if replaced || !direct {
		return
	}
	time.AfterFunc(workKept, func() {
		m.mu.Lock()
		back := m.incoming[sender] != nil || m.isTold(sender)
		m.mu.Unlock()
		if !back {
			m.book.RemoveRemote(sender)
		}
	})
}

func (m *Mesh) takeNews(s *inStream, sender uint64, frame *wire.MeshFrame) {
	m.takeProcesses(frame)
	m.directory.MergeEndpoints(frame.Endpoints)
	if len(frame.Work) > 0 {
		m.mu.Lock()
		s.direct = true
		m.mu.Unlock()
		m.book.ApplyRemote(sender, frame.Work)
	}
	for _, news := range frame.Relayed {
		m.takeRelayed(news)
	}
}

// takeProcesses takes what a frame tells of processes: its sender, which is
// known to run, and others.
func (m *Mesh) takeProcesses(frame *wire.MeshFrame) {
	records := frame.Processes
	if frame.Sender != nil {
		records = append(records, frame.Sender)
	}
	if len(records) == 0 {
		return
	}
	news := m.directory.MergeProcesses(records)
	if frame.Sender != nil {
		if back := m.directory.Revive(frame.Sender.Address, frame.Sender.Incarnation); back != nil {
			news = append(news, back)
		}
		m.mu.Lock()
		m.heard[frame.Sender.Address] = true
		m.mu.Unlock()
	}
	if back := m.directory.Revive(m.options.Self.Address, m.options.Self.Incarnation); back != nil {
		m.mu.Lock()
		m.self = back
		m.mu.Unlock()
		news = append(news, back)
	}
	if len(news) > 0 {
		m.connect()
		m.tellProcesses(news)
	}
}

// hello tells who this process is and which others it knows.
func (m *Mesh) hello() *wire.MeshFrame {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &wire.MeshFrame{Sender: m.self, Processes: m.directory.ProcessRecords()}
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
