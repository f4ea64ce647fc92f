package group

import (
	"cmp"
	"slices"
)

// maxRounds bounds the rounds of planning for one prompt. A round ends with a refusal,
// or without a plan and with the candidates' free memory raised by assumeMaxFree.
const maxRounds = 2 * MaxMembers

// Reply is the reply to a request for a reservation at an endpoint.
type Reply struct {
	Reserved   bool
	FreeTokens uint64 // at the endpoint, when the request was refused; 0 excludes the endpoint
}

// Reserver makes reservations at endpoints. A reservation is a lease: it expires
// unless it is renewed.
type Reserver interface {
	// Reserve reserves ReserveTokens of a member.
	Reserve(member Member) Reply
	// Release ends a reservation, also one that may not have been made.
	Release(member Member)
}

// Reserve plans a group and reserves the memory of all its members, or returns nil
// with nothing reserved. When a member refuses, the reservations of that plan are
// released before the next plan is tried, so two groups can't deadlock by holding what
// the other waits for. All groups reserve in the order of their members' names, so two
// groups that compete for the same endpoints meet first at the same one: one of them
// gets it and goes on, and they don't keep refusing each other.
func Reserve(tokens, output uint64, candidates []Candidate, reserver Reserver) []Member {
	candidates = slices.Clone(candidates)
	for range maxRounds {
		members := Plan(tokens, output, candidates)
		if members == nil {
			if !assumeMaxFree(candidates) {
				return nil
			}
			continue
		}
		refused, reply := reserveAll(members, reserver)
		if refused == "" {
			return members
		}
		for i := range candidates {
			if candidates[i].Name == refused {
				// At least one less than before, whatever the reply says, so that every
				// refusal lowers what is assumed to be free.
				candidates[i].FreeTokens = min(candidates[i].FreeTokens-1, reply.FreeTokens)
				candidates[i].MaxFreeTokens = candidates[i].FreeTokens
			}
		}
	}
	return nil
}

// assumeMaxFree raises FreeTokens of the candidates to MaxFreeTokens, as memory may
// have become free since their reports. If it has not, the endpoint refuses the
// reservation, which costs one round. assumeMaxFree returns false when it changes
// nothing.
func assumeMaxFree(candidates []Candidate) bool {
	changed := false
	for i := range candidates {
		c := &candidates[i]
		changed = changed || c.MaxFreeTokens > c.FreeTokens
		c.FreeTokens = max(c.FreeTokens, c.MaxFreeTokens)
	}
	return changed
}

// reserveAll reserves all members in the order of their names. When one refuses,
// it releases that one and all before it, and returns its name and reply.
func reserveAll(members []Member, reserver Reserver) (refused string, reply Reply) {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i, m := range ordered {
		if reply = reserver.Reserve(m); reply.Reserved {
			continue
		}
		for _, held := range slices.Backward(ordered[:i+1]) {
			reserver.Release(held)
		}
		return m.Name, reply
	}
	return "", reply
}
