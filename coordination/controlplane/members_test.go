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
		{"all are there", []*wire.Member{voter("a"), voter("b"), voter("c")}, nil, ""},
		{"one is gone and nobody took its place", []*wire.Member{voter("a"), voter("b"), voter("c")}, map[string]time.Duration{"c": long}, ""},
		{"a learner has not taken it yet", []*wire.Member{voter("a"), voter("b"), voter("c"), learner}, map[string]time.Duration{"c": long}, ""},
		{"one was replaced", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"c": long}, "c"},
		{"one is silent for a short time", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"c": 3 * time.Second}, ""},
		{"two are gone", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"c": long, "d": long}, ""},
		{"a removed one does not count", []*wire.Member{voter("a"), voter("b"), voter("c"), removed}, map[string]time.Duration{"x": long}, ""},
		{"this one is never silent", []*wire.Member{voter("a"), voter("b"), voter("c"), voter("d")}, map[string]time.Duration{"a": long}, ""},
	}
	for _, c := range cases {
		got := ""
		if m := replacedVoter(c.members, "a", 3, func(address string) time.Duration { return c.silent[address] }); m != nil {
			got = m.Id
		}
		if got != c.want {
			t.Errorf("%s: removes %q, want %q", c.name, got, c.want)
		}
	}
}

// Two hosts may be lost at once: of six voters a data centre with two is cut off,
// and the other four alone would not bear the loss of two disks.
func TestNoVoterIsRemovedBelowTheLeastGroup(t *testing.T) {
	var members []*wire.Member
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		members = append(members, &wire.Member{Id: id, Address: id})
	}
	silent := map[string]time.Duration{"f": time.Minute}
	silence := func(address string) time.Duration { return silent[address] }
	if m := replacedVoter(members, "a", 5, silence); m == nil || m.Id != "f" {
		t.Errorf("one of six is gone, and %v is removed", m)
	}
	silent["e"] = time.Minute
	if m := replacedVoter(members, "a", 5, silence); m != nil {
		t.Errorf("two of six are gone, and %s is removed", m.Id)
	}
}
