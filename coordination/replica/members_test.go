package replica

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func TestLateJoinOfRemovedReplicaReplacesNoMember(t *testing.T) {
	members := []*wire.Member{{Id: "first", Address: "a", Removed: true}, {Id: "second", Address: "a"}, {Id: "other", Address: "b"}}
	if change, err := nextJoinChange(members, &wire.JoinRequest{Id: "first", Address: "a"}); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("%v %v", change, err)
	}
	change, err := nextJoinChange(members, &wire.JoinRequest{Id: "third", Address: "a"})
	if err != nil || change.RemoveId != "second" {
		t.Fatalf("%v %v", change, err)
	}
	// A member that moves can't take over the address of another member.
	if change, err = nextJoinChange(members, &wire.JoinRequest{Id: "other", Address: "a"}); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("a member took over another member's address: %v %v", change, err)
	}
}
