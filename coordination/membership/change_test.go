package membership

import (
	"testing"
	"time"
)

// voter returns a voter that was last heard some time ago.
func voter(id string, silence time.Duration) Member { return Member{ID: id, Silence: silence} }

// learner returns a learner that has caught up.
func learner(id string, silence time.Duration) Member {
	return Member{ID: id, Learner: true, CaughtUp: true, Silence: silence}
}

// The leader of a group is the voter a.
func TestNext(t *testing.T) {
	const now, long = 0, 4 * time.Second
	behind := Member{ID: "d", Learner: true}
	for _, c := range []struct {
		name   string
		others []Member
		want   Action
		id     string
	}{
		{"all are reachable", []Member{voter("b", now), voter("c", now)}, Keep, ""},
		{"one is unreachable and too few others are reachable", []Member{voter("b", now), voter("c", long)}, Keep, ""},
		{"the fourth member is still a learner", []Member{voter("b", now), voter("c", long), behind}, Keep, ""},
		{"a learner has caught up", []Member{voter("b", now), voter("c", now), learner("d", now)}, Promote, "d"},
		{"a learner has caught up while too few are reachable", []Member{voter("b", now), voter("c", long), learner("d", now)}, Promote, "d"},
		{"a learner has caught up and is not heard", []Member{voter("b", now), voter("c", now), learner("d", time.Second)}, Keep, ""},
		{"one is unreachable and enough others are reachable", []Member{voter("b", now), voter("c", long), voter("d", now)}, Demote, "c"},
		{"one is unreachable for a short time", []Member{voter("b", now), voter("c", time.Second), voter("d", now)}, Keep, ""},
		{"one is unreachable for longer, the others are as many as needed", []Member{voter("b", now), voter("c", 2*time.Second), voter("d", now)}, Keep, ""},
		{"one is unreachable for longer, the others are more than needed", []Member{voter("b", now), voter("c", 2*time.Second), voter("d", now), voter("e", now)}, Demote, "c"},
		{"two of four are unreachable", []Member{voter("b", now), voter("c", long), voter("d", long)}, Keep, ""},
		{"two of five are unreachable", []Member{voter("b", now), voter("c", long), voter("d", long+1), voter("e", now)}, Demote, "d"},
		{"one is unreachable and a learner waits", []Member{voter("b", now), voter("c", long), voter("d", now), learner("e", now)}, Demote, "c"},
		{"one is unreachable for a short time and a learner waits", []Member{voter("b", now), voter("c", 2*time.Second), voter("d", now), learner("e", now)}, Promote, "e"},
		{"a learner is unreachable", []Member{voter("b", now), voter("c", now), learner("d", long)}, Keep, ""},
		{"a learner is unreachable for very long", []Member{voter("b", now), voter("c", now), learner("d", 2*RemoveAfter)}, Remove, "d"},
	} {
		if got, id := Next(c.others, 3); got != c.want || id != c.id {
			t.Errorf("%s: got %d %q, want %d %q", c.name, got, id, c.want, c.id)
		}
	}
}

// The group must survive the loss of two hosts at once. If a data centre with two
// of the six voters is cut off, neither may be demoted: the other four alone would
// not survive the loss of two disks.
func TestNoVoterIsDemotedBelowMinVoters(t *testing.T) {
	others := []Member{voter("b", 0), voter("c", 0), voter("d", 0), voter("e", 0), voter("f", time.Minute)}
	if action, id := Next(others, 5); action != Demote || id != "f" {
		t.Errorf("one of six voters is unreachable: got %d %q, want f demoted", action, id)
	}
	others[3].Silence = time.Minute
	if action, id := Next(others, 5); action != Keep {
		t.Errorf("two of six voters are unreachable: got %d %q, want none", action, id)
	}
}

// A voter that is only frozen, cut off or stopped must not have to start anew.
func TestVoterIsNeverRemoved(t *testing.T) {
	others := []Member{voter("b", 0), voter("c", 0), voter("d", time.Hour)}
	if action, id := Next(others, 3); action != Demote {
		t.Errorf("got %d %q, want d demoted", action, id)
	}
}

// Groups whose needed size isn't known keep their members.
func TestNoMemberIsDemotedOrRemovedWithoutMinVoters(t *testing.T) {
	others := []Member{voter("b", 0), voter("c", 0), voter("d", time.Hour), learner("e", time.Hour)}
	if action, id := Next(others, 0); action != Keep {
		t.Errorf("got %d %q, want no change", action, id)
	}
}
