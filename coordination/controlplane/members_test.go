package controlplane

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func TestReplacedVoter(t *testing.T) {
	voter := func(id string) *wire.Member { return &wire.Member{Id: id, Address: id} }
	learner := &wire.Member{Id: "l", Address: "l", Learner: true}
	removed := &wire.Member{Id: "x", Address: "x", Removed: true}
	const long = time.Minute
	cases := []struct {
		name    string
		members []*wire.Member
		silent  map[string]time.Duration
		want    string
	}{
		{"all are reachable", []*wire.Member{voter("a"), voter("b"), voter("c")}, nil, ""},
		{"one is unreachable and too few others are reachable", []*wire.Member{voter("a"), voter("b"), voter("c")}, map[string]time.Duration{"c": long}, ""},
		{"the fourth member is still a learner", []*wire.Member{voter("a"), voter("b"), voter("c"), learner}, map[string]time.Duration{"c": long}, ""},
		{"one is unreachable and enough others are reachable", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"c": long}, "c"},
		{"one is unreachable for a short time", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"c": 3 * time.Second}, ""},
		{"two are unreachable", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"c": long, "d": long}, ""},
		{"a removed member is ignored", []*wire.Member{voter("a"), voter("b"), voter("c"), removed}, map[string]time.Duration{"x": long}, ""},
		{"this replica is always reachable", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"a": long}, ""},
	}
	for _, c := range cases {
		got := ""
		if m := removableVoter(c.members, "a", 3, func(address string) time.Duration { return c.silent[address] }); m != nil {
			got = m.Id
		}
		if got != c.want {
			t.Errorf("%s: removes %q, want %q", c.name, got, c.want)
		}
	}
}

// The group must survive the loss of two hosts at once. If a data centre with two
// of the six voters is cut off, neither may be removed: the other four alone would
// not survive the loss of two disks.
func TestNoVoterIsRemovedBelowMinReachableVoters(t *testing.T) {
	var members []*wire.Member
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		members = append(members, &wire.Member{Id: id, Address: id})
	}
	silent := map[string]time.Duration{"f": time.Minute}
	sinceLastHeard := func(address string) time.Duration { return silent[address] }
	if m := removableVoter(members, "a", 5, sinceLastHeard); m == nil || m.Id != "f" {
		t.Errorf("one of six voters is unreachable: removes %v, want f", m)
	}
	silent["e"] = time.Minute
	if m := removableVoter(members, "a", 5, sinceLastHeard); m != nil {
		t.Errorf("two of six voters are unreachable: removes %s, want none", m.Id)
	}
}
