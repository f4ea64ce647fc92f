package replica

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxChunkBytes bounds one chunk. Each chunk is a call of its own, which must end
	// within Options.PeerTimeout: with the default, on a link of 512 KiB a second. A
	// smaller one takes more round trips for a snapshot.
	maxChunkBytes = 256 << 10

	// maxSnapshotBytes bounds a snapshot that is received in chunks, and with it the
	// memory that the size given in its first chunk makes the receiver allocate.
	// Chunks of a larger one are ignored.
	maxSnapshotBytes = 1 << 30
)

// splitSnapshot splits a snapshot message into chunks of chunkBytes at most, each
// of which fits into one call.
func splitSnapshot(m *wire.PeerMessage) []*wire.PeerMessage {
	if len(m.Snapshot) <= maxChunkBytes {
		return []*wire.PeerMessage{m}
	}
	data := m.Snapshot
	head := proto.CloneOf(m)
	head.Snapshot = nil
	var chunks []*wire.PeerMessage
	for offset := 0; offset < len(data); offset += maxChunkBytes {
		chunk := proto.CloneOf(head)
		chunk.Snapshot = data[offset:min(offset+maxChunkBytes, len(data))]
		chunk.SnapshotOffset = uint64(offset)
		chunk.SnapshotBytes = uint64(len(data))
		chunks = append(chunks, chunk)
	}
	return chunks
}

// snapshotAssembler reassembles a snapshot from its chunks. A chunk that does not
// continue the data received so far is ignored, so that a snapshot of which a chunk
// was lost stays incomplete until the leader sends it again.
type snapshotAssembler struct {
	from  string
	term  uint64
	index uint64
	data  []byte
}

// add returns a complete message to process: m itself if it is not a chunk, or the
// snapshot if m is its last chunk. Otherwise it returns nil.
func (a *snapshotAssembler) add(m *wire.PeerMessage) *wire.PeerMessage {
	if m.SnapshotBytes == 0 {
		return m
	}
	if m.SnapshotBytes > maxSnapshotBytes {
		return nil
	}
	if m.SnapshotOffset == 0 {
		*a = snapshotAssembler{from: m.From, term: m.Term, index: m.Index, data: make([]byte, 0, m.SnapshotBytes)}
	}
	if a.from != m.From || a.term != m.Term || a.index != m.Index || uint64(len(a.data)) != m.SnapshotOffset {
		return nil
	}
	a.data = append(a.data, m.Snapshot...)
	if uint64(len(a.data)) < m.SnapshotBytes {
		return nil
	}
	m.Snapshot = a.data
	*a = snapshotAssembler{}
	return m
}

// snapshotFailure is the request of reportSnapshotFailure.
type snapshotFailure struct{ id string }

func (q snapshotFailure) run(r *Replica) { r.raft.ReportSnapshotFailure(q.id) }

// reportSnapshotFailure tells Raft that a snapshot was not delivered. If the
// request queue is full, the report is dropped and Raft's own timeout takes effect
// later.
func (r *Replica) reportSnapshotFailure(id string) {
	select {
	case r.requests <- snapshotFailure{id}:
	default:
	}
}
