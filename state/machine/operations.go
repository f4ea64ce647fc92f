package machine

import (
	"crypto/sha256"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	operationLifeMs = 24 * 60 * 60 * 1000 // log time for which a resend gets the first result
	maxOperations   = 10_000              // oldest records are dropped above this
)

// operations remembers the results of operators' changes by operation id.
type operations struct {
	byID  map[string]*wire.OperationRecord
	order []*wire.OperationRecord // ascending by time
}

func newOperations() operations {
	return operations{byID: make(map[string]*wire.OperationRecord)}
}

func (o *operations) add(record *wire.OperationRecord) {
	o.byID[record.Id] = record
	o.order = append(o.order, record)
	if len(o.order) > maxOperations {
		o.dropOldest()
	}
}

func (o *operations) dropOldest() {
	delete(o.byID, o.order[0].Id)
	o.order[0] = nil
	o.order = o.order[1:]
}

func (o *operations) expire(nowMs uint64) {
	for len(o.order) > 0 && o.order[0].TimeMs+operationLifeMs <= nowMs {
		o.dropOldest()
	}
}

// repeat returns the answer to a resent operation, or nil for a new one.
func (o *operations) repeat(id string, digest []byte) *wire.ApplyResponse {
	record, ok := o.byID[id]
	if !ok {
		return nil
	}
	if string(record.Digest) != string(digest) {
		err := fault.New(fault.KeyReused, "operation %q was another change", id)
		return &wire.ApplyResponse{Failure: fault.ToWire(err)}
	}
	response := proto.CloneOf(record.Response)
	response.RepeatedOperation = true
	return response
}

// digestOf identifies a change. Marshalling is deterministic within one build;
// replicas of differing builds agree because Change holds no maps.
func digestOf(change *wire.Change) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

func (m *Machine) applyOperation(index uint64, request *wire.ApplyRequest) *wire.ApplyResponse {
	if request.OperationId == "" {
		return refuse(fault.New(fault.InvalidRequest, "the operation id is missing"))
	}
	digest := digestOf(request.Change)
	if response := m.operations.repeat(request.OperationId, digest); response != nil {
		return response
	}
	response := m.change(index, request.Change)
	m.operations.add(&wire.OperationRecord{
		Id:       request.OperationId,
		Response: proto.CloneOf(response),
		TimeMs:   m.TimeMs(),
		Digest:   digest,
	})
	return response
}

func refuse(err error) *wire.ApplyResponse {
	return &wire.ApplyResponse{Failure: fault.ToWire(err)}
}
