package machine

import (
	"maps"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/contract"
)

// acquireLease makes a gate instance the holder of its endpoint's lease; the present
// holder keeps its lease number. It takes the lease from another holder without a
// check: the proposer, which knows of the renewals, decides when a takeover is due.
func (m *Machine) acquireLease(index uint64, request *wire.GateLeaseRequest) *wire.GateLeaseResponse {
	if err := CheckGateLease(request); err != nil {
		return &wire.GateLeaseResponse{Failure: fault.ToWire(err)}
	}
	published := m.Published()
	number := index
	if have := published.Leases[request.Endpoint]; have.GetGateInstance() == request.GateInstance {
		number = have.Number
	}
	leases := maps.Clone(published.Leases)
	leases[request.Endpoint] = &wire.GateLeaseRecord{
		Endpoint:     request.Endpoint,
		GateInstance: request.GateInstance,
		GateAddress:  request.GateAddress,
		Number:       number,
	}
	m.published.Store(&PublishedState{View: published.View, History: published.History, Leases: leases})
	return &wire.GateLeaseResponse{Held: true, Number: number}
}

// CheckGateLease returns an InvalidRequest error if a request for a gate lease lacks
// a field.
func CheckGateLease(request *wire.GateLeaseRequest) error {
	if err := contract.CheckName("endpoint", request.GetEndpoint()); err != nil {
		return err
	}
	if request.GateInstance == "" || request.GateAddress == "" {
		return fault.New(fault.InvalidRequest, "the gate of endpoint %q must give its instance and address", request.Endpoint)
	}
	return nil
}
