package group

import (
	"cmp"
	"slices"
)

// maxRounds bounds the sets that are tried for one prompt.
const maxRounds = 2 * MaxMembers

// Reply is a gate's reply to a reservation.
type Reply struct {
	Reserved   bool
	FreeTokens uint64 // tokens free when it was not held; 0 to leave the endpoint out
}

// Reserver reserves memory at one endpoint. A reservation is a lease: it ends by
// itself when nobody renews it.
type Reserver interface {
	Reserve(member Member) Reply
	// Release gives a reservation up; also one of which it is not known
	// whether it was made.
	Release(member Member)
}

// Reserve plans and reserves a whole group, or returns nil with nothing held.
// A refused set is released before the next is tried, and each set is reserved
// in order of name, so that groups neither wait for each other nor refuse each
// other in a circle.
func Reserve(tokens, output uint64, candidates []Candidate, ledger Reserver) []Member {
	candidates = slices.Clone(candidates)
	for range maxRounds {
		members := Plan(tokens, output, candidates)
		if members == nil {
			if !expectMost(candidates) {
				return nil
			}
			continue
		}
		refused, reply := reserveAll(members, ledger)
		if refused == "" {
			return members
		}
		for i := range candidates {
			if candidates[i].Name == refused {
				candidates[i].FreeTokens = min(candidates[i].FreeTokens-1, reply.FreeTokens)
				candidates[i].MaxFreeTokens = candidates[i].FreeTokens
			}
		}
	}
	return nil
}

// expectMost takes the memory of late reports as free, for the gates to judge;
// false when nothing is left to expect.
func expectMost(candidates []Candidate) bool {
	changed := false
	for i := range candidates {
		c := &candidates[i]
		changed = changed || c.MaxFreeTokens > c.FreeTokens
		c.FreeTokens = max(c.FreeTokens, c.MaxFreeTokens)
	}
	return changed
}

// reserveAll reserves in order of name and names the member that refused.
func reserveAll(members []Member, ledger Reserver) (refused string, reply Reply) {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i, m := range ordered {
		if reply = ledger.Reserve(m); reply.Reserved {
			continue
		}
		for _, held := range slices.Backward(ordered[:i+1]) {
			ledger.Release(held)
		}
		return m.Name, reply
	}
	return "", reply
}
