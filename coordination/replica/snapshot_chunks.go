package replica

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	partBytes        = 1 << 20
	maxSnapshotBytes = 1 << 30
)

// split cuts a snapshot message into parts that fit one call.
func split(m *wire.PeerMessage) []*wire.PeerMessage {
	if len(m.Snapshot) <= partBytes {
		return []*wire.PeerMessage{m}
	}
	whole := m.Snapshot
	head := proto.CloneOf(m)
	head.Snapshot = nil
	var parts []*wire.PeerMessage
	for offset := 0; offset < len(whole); offset += partBytes {
		part := proto.CloneOf(head)
		part.Snapshot = whole[offset:min(offset+partBytes, len(whole))]
		part.SnapshotOffset = uint64(offset)
		part.SnapshotBytes = uint64(len(whole))
		parts = append(parts, part)
	}
	return parts
}

// assembly puts the parts of one snapshot together. A part out of order ends
// the attempt; the sender starts again.
type assembly struct {
	from  string
	term  uint64
	index uint64
	data  []byte
}

// add returns a message to step: m itself, or a snapshot that m completes.
func (a *assembly) add(m *wire.PeerMessage) *wire.PeerMessage {
	if m.SnapshotBytes == 0 {
		return m
	}
	if m.SnapshotBytes > maxSnapshotBytes {
		return nil
	}
	if m.SnapshotOffset == 0 {
		*a = assembly{from: m.From, term: m.Term, index: m.Index, data: make([]byte, 0, m.SnapshotBytes)}
	}
	if a.from != m.From || a.term != m.Term || a.index != m.Index || uint64(len(a.data)) != m.SnapshotOffset {
		return nil
	}
	a.data = append(a.data, m.Snapshot...)
	if uint64(len(a.data)) < m.SnapshotBytes {
		return nil
	}
	m.Snapshot = a.data
	*a = assembly{}
	return m
}

type snapshotLost struct{ id string }

func (q snapshotLost) run(r *Replica) { r.raft.ReportSnapshotFailure(q.id) }

// snapshotLost tells the core of a snapshot that did not arrive. When the
// replica is busy the core's own timeout does the same later.
func (r *Replica) snapshotLost(id string) {
	select {
	case r.requests <- snapshotLost{id}:
	default:
	}
}
