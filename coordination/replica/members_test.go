package replica

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func TestLateJoinOfAReplacedReplicaDisplacesNobody(t *testing.T) {
	members := []*wire.Member{{Id: "first", Address: "a", Removed: true}, {Id: "second", Address: "a"}, {Id: "other", Address: "b"}}
	if change, err := admission(members, &wire.JoinRequest{Id: "first", Address: "a"}); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("%v %v", change, err)
	}
	change, err := admission(members, &wire.JoinRequest{Id: "third", Address: "a"})
	if err != nil || change.RemoveId != "second" {
		t.Fatalf("%v %v", change, err)
	}
	// A member that moves can't take the address of a living one.
	if change, err = admission(members, &wire.JoinRequest{Id: "other", Address: "a"}); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("took over a used address: %v %v", change, err)
	}
}
