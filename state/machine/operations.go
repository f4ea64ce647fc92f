package machine

import (
	"crypto/sha256"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	operationLifetimeMs = 24 * 60 * 60 * 1000 // log time for which a repeated operation gets the first result
	maxOperations       = 10_000              // the oldest records are dropped above this number
)

// operations holds the results of operators' changes by operation ID. Failures are
// stored with their messages, so these must be equal in all builds that may run in
// one control group.
type operations struct {
	byID  map[string]*wire.OperationRecord
	order []*wire.OperationRecord // in ascending order of time
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
	for len(o.order) > 0 && o.order[0].TimeMs+operationLifetimeMs <= nowMs {
		o.dropOldest()
	}
}

// resultOf returns the result of a repeated operation, or nil for a new one. An ID
// that belongs to another change gives a KeyReused failure.
func (o *operations) resultOf(id string, digest []byte) *wire.ApplyResponse {
	record, ok := o.byID[id]
	if !ok {
		return nil
	}
	if string(record.Digest) != string(digest) {
		err := fault.New(fault.KeyReused, "operation id %q was used for another change", id)
		return &wire.ApplyResponse{Failure: fault.ToWire(err)}
	}
	response := proto.CloneOf(record.Response)
	response.RepeatedOperation = true
	return response
}

// changeDigest returns the hash that identifies a change. Deterministic marshalling
// holds within one build only; replicas of different builds agree because Change
// contains no maps.
func changeDigest(change *wire.Change) []byte {
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
	digest := changeDigest(request.Change)
	if response := m.operations.resultOf(request.OperationId, digest); response != nil {
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
