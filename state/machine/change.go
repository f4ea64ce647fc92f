package machine

import (
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/contract"
	"github.com/apricotspoke/apricotspoke/state/fleet"
	"google.golang.org/protobuf/proto"
)

// CheckChange returns the error with which a change to the view would be refused,
// or nil. It changes nothing.
func CheckChange(view *fleet.View, change *wire.Change) error {
	_, err := planChange(view, view.Revision()+1, change)
	return err
}

func (m *Machine) change(index uint64, change *wire.Change) *wire.ApplyResponse {
	delta, err := planChange(m.Published().View, index, change)
	if err != nil {
		return refuse(err)
	}
	response := &wire.ApplyResponse{Revision: m.Published().View.Revision()}
	if delta == nil {
		return response
	}
	m.commit(index, delta)
	response.Revision = index
	if len(delta.Orders) > 0 {
		response.OrderNumber = index
	}
	return response
}

// planChange returns the delta that a change makes at a log index. It is nil for a
// member change, which package coordination/replica carries out.
func planChange(view *fleet.View, index uint64, change *wire.Change) (*wire.ConfigDelta, error) {
	expected := change.GetExpectedVersion()
	switch of := change.GetOf().(type) {
	case *wire.Change_PutContract:
		return planPutContract(view, index, expected, of.PutContract)
	case *wire.Change_DeleteContract:
		return planDeleteContract(view, index, expected, of.DeleteContract)
	case *wire.Change_SetDataCentre:
		return planDataCentre(view, index, expected, of.SetDataCentre)
	case *wire.Change_SetEndpoint:
		return planEndpoint(view, index, expected, of.SetEndpoint)
	case *wire.Change_IssueOrder:
		return planOrder(view, index, of.IssueOrder)
	case *wire.Change_ChangeMember:
		return nil, checkMemberChange(view, of.ChangeMember)
	default:
		return nil, fault.New(fault.InvalidRequest, "the change names no object")
	}
}

func conflict(kind, name string, expected, actual uint64) error {
	if actual == 0 {
		return fault.New(fault.Conflict, "%s %q does not exist, version %d was expected", kind, name, expected)
	}
	return fault.New(fault.Conflict, "%s %q is at version %d, version %d was expected", kind, name, actual, expected)
}

func planPutContract(view *fleet.View, index, expected uint64, put *wire.Contract) (*wire.ConfigDelta, error) {
	if err := contract.Check(put); err != nil {
		return nil, err
	}
	if actual := view.Contract(put.Organisation).GetVersion(); actual != expected {
		return nil, conflict("contract", put.Organisation, expected, actual)
	}
	if err := checkKeys(view, put); err != nil {
		return nil, err
	}
	next := proto.CloneOf(put)
	next.Version = index
	next.Deleted = false
	return &wire.ConfigDelta{Contracts: []*wire.Contract{next}}, nil
}

// checkKeys refuses a contract that holds a key of another organisation.
func checkKeys(view *fleet.View, put *wire.Contract) error {
	for _, hash := range put.KeyHashes {
		owner := view.ContractByHash(fleet.KeyHash(hash))
		if owner != nil && owner.Organisation != put.Organisation {
			return fault.New(fault.InvalidRequest, "a key of %q belongs to organisation %q; give each its own", put.Organisation, owner.Organisation)
		}
	}
	return nil
}

func planDeleteContract(view *fleet.View, index, expected uint64, organisation string) (*wire.ConfigDelta, error) {
	have := view.Contract(organisation)
	if have == nil {
		return nil, fault.New(fault.NotFound, "organisation %q has no contract", organisation)
	}
	if have.Version != expected {
		return nil, conflict("contract", organisation, expected, have.Version)
	}
	gone := &wire.Contract{Organisation: organisation, Version: index, Deleted: true}
	return &wire.ConfigDelta{Contracts: []*wire.Contract{gone}}, nil
}

func planDataCentre(view *fleet.View, index, expected uint64, set *wire.DataCentre) (*wire.ConfigDelta, error) {
	if err := contract.CheckName("data centre", set.GetName()); err != nil {
		return nil, err
	}
	if actual := view.DataCentre(set.Name).GetVersion(); actual != expected {
		return nil, conflict("data centre", set.Name, expected, actual)
	}
	next := proto.CloneOf(set)
	next.Version = index
	return &wire.ConfigDelta{DataCentres: []*wire.DataCentre{next}}, nil
}

func planEndpoint(view *fleet.View, index, expected uint64, set *wire.EndpointPolicy) (*wire.ConfigDelta, error) {
	if err := contract.CheckName("endpoint", set.GetEndpoint()); err != nil {
		return nil, err
	}
	if _, known := wire.EndpointState_name[int32(set.State)]; !known {
		return nil, fault.New(fault.InvalidRequest, "endpoint state %d is unknown", set.State)
	}
	if actual := view.Endpoint(set.Endpoint).GetVersion(); actual != expected {
		return nil, conflict("endpoint", set.Endpoint, expected, actual)
	}
	next := proto.CloneOf(set)
	next.Version = index
	return &wire.ConfigDelta{Endpoints: []*wire.EndpointPolicy{next}}, nil
}

func checkMemberChange(view *fleet.View, change *wire.MemberChange) error {
	if change.GetAddId() == "" && change.GetRemoveId() == "" {
		return fault.New(fault.InvalidRequest, "the member change names no replica")
	}
	if change.AddId != "" && change.AddAddress == "" {
		return fault.New(fault.InvalidRequest, "replica %q needs an address", change.AddId)
	}
	if change.RemoveId == "" {
		return nil
	}
	for _, member := range view.Members() {
		if member.Id == change.RemoveId {
			return nil
		}
	}
	return fault.New(fault.NotFound, "replica %q is no member", change.RemoveId)
}
