package group

import (
	"cmp"
	"slices"
)

// maxAttempts bounds the plans that are tried for one prompt.
const maxAttempts = 2 * MaxMembers

// Reply is a gate's reply to a request for a reservation.
type Reply struct {
	Reserved   bool
	FreeTokens uint64 // at the endpoint, when it refused; 0 excludes the endpoint
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
// released before the next plan is tried. Members are reserved in the order of
// their names. So two groups neither deadlock nor keep refusing each other.
func Reserve(tokens, output uint64, candidates []Candidate, reserver Reserver) []Member {
	candidates = slices.Clone(candidates)
	for range maxAttempts {
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
				candidates[i].FreeTokens = min(candidates[i].FreeTokens-1, reply.FreeTokens)
				candidates[i].MaxFreeTokens = candidates[i].FreeTokens
			}
		}
	}
	return nil
}

// assumeMaxFree raises FreeTokens of the candidates to MaxFreeTokens, as their
// reports may be out of date and the gates decide in the end. It returns false
// when that changes nothing.
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
