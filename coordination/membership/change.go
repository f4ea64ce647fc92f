package membership

import "time"

const (
	// SilentAfter is the time without a message after which a voter counts as unreachable.
	// It is longer than a replica takes to replace a connection that has fallen silent.
	SilentAfter = 1500 * time.Millisecond
	// ShrinkAfter is the time without a message after which a voter is made a learner although
	// the group then has no more voters than it needs. Until then the group may be lost if
	// another host is removed for good; from then on, if the voter is only away and the group
	// loses two others at once. It is shorter than the time after which the next host may be
	// replaced, and longer than most standstills.
	ShrinkAfter = 3 * time.Second
	// RemoveAfter is the time without a message after which a learner is removed. A removed
	// replica can't join again with the same data folder.
	RemoveAfter = time.Minute
	// heardWithin is the time since the last message within which a learner becomes a voter.
	heardWithin = 300 * time.Millisecond
)

// Member is what a leader knows of another member that is not removed.
type Member struct {
	ID       string
	Learner  bool
	CaughtUp bool          // of a learner: it has synced the log far enough to vote
	Silence  time.Duration // since its last message to this leader
	Leaving  bool          // its last message said that its process is about to end
}

// Action is a change of one member.
type Action int

// The actions of a leader.
const (
	Keep    Action = iota // the members stay as they are
	Demote                // the voter becomes a learner
	Promote               // the learner becomes a voter
	Remove                // the learner leaves the group
)

// Next returns the next change that a leader makes, and the ID of the member that it
// concerns. The leader itself votes and is not in others. minVoters is the number of voters
// that the group needs to survive the failures that it must; with 0, no member is demoted
// or removed.
//
// A voter that can't be reached is demoted while enough other voters are reachable, so that
// the quorum is formed by those that are there. It is not removed: it may only be frozen,
// cut off or stopped for a while, and votes again once it is heard.
//
// A voter whose process is about to end is demoted at once, as long as the group has more
// voters than it needs: else it would count until its silence is seen, and the group would
// be lost if too many others ended meanwhile. Nobody can know whether it comes back; if it
// does, it votes again.
func Next(others []Member, minVoters int) (Action, string) {
	if minVoters > 0 {
		if id := leavingVoter(others, minVoters); id != "" {
			return Demote, id
		}
		if id := silentVoter(others, minVoters); id != "" {
			return Demote, id
		}
	}
	for _, m := range others {
		if m.Learner && m.CaughtUp && !m.Leaving && m.Silence < heardWithin {
			return Promote, m.ID
		}
	}
	for _, m := range others {
		if minVoters > 0 && m.Learner && m.Silence > RemoveAfter {
			return Remove, m.ID
		}
	}
	return Keep, ""
}

// leavingVoter returns a voter whose process is about to end, or nothing if the group has no
// more voters than it needs.
func leavingVoter(others []Member, minVoters int) string {
	voters, leaving := 1, ""
	for _, m := range others {
		if m.Learner {
			continue
		}
		voters++
		if m.Leaving {
			leaving = m.ID
		}
	}
	if voters <= minVoters {
		return ""
	}
	return leaving
}

// silentVoter returns the voter that has been silent for longest and is to be demoted, or
// nothing: enough others, the leader included, must be reachable. One that leaves the group
// with more voters than it needs is demoted sooner than one that doesn't.
func silentVoter(others []Member, minVoters int) string {
	reachable := 1
	silent := Member{Silence: SilentAfter}
	for _, m := range others {
		switch {
		case m.Learner:
		case m.Silence <= SilentAfter:
			reachable++
		case m.Silence > silent.Silence:
			silent = m
		}
	}
	if reachable > minVoters || reachable == minVoters && silent.Silence > ShrinkAfter {
		return silent.ID
	}
	return ""
}
