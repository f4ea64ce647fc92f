// Package group splits a prompt that no single endpoint has memory for into
// segments for a group of endpoints. It plans the segments and reserves the memory
// at all endpoints of the group or at none.
package group

import (
	"cmp"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// MaxMembers is the largest number of endpoints in one group. More members can take
// longer prompts, but all of them must grant their reservations for one prompt.
const MaxMembers = 8

// Candidate is an endpoint that could take a segment of a prompt.
type Candidate struct {
	Name          string
	FreeTokens    uint64 // in the last report
	MaxFreeTokens uint64 // that may be free by now, if work has ended since the report
}

// Member is an endpoint of a group with its segment of the prompt.
type Member struct {
	Name          string
	Tokens        uint64 // in its segment
	ReserveTokens uint64 // to reserve: those of its segment and, at the last member, of the answer
}

// Plan splits a prompt of the given number of tokens, with room for an answer of up to
// output tokens, over as few candidates as possible, but at least two. The members
// are in the order of their segments, of which all but the last consist of whole
// prefix blocks. Plan returns nil when the candidates have too little free memory.
func Plan(tokens, output uint64, candidates []Candidate) []Member {
	byFree := slices.Clone(candidates)
	slices.SortFunc(byFree, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), cmp.Compare(a.Name, b.Name))
	})
	for n := 2; n <= min(len(byFree), MaxMembers); n++ {
		if members := splitPrompt(tokens, output, byFree[:n]); members != nil {
			return members
		}
	}
	return nil
}

// splitPrompt splits the prompt over all candidates, as evenly as memory allows; the
// answer counts as a part of the last segment. The candidates are in descending order
// of free memory, and the first one gets the last segment. splitPrompt returns nil
// when they have too little.
func splitPrompt(tokens, output uint64, byFree []Candidate) []Member {
	n := uint64(len(byFree))
	last := byFree[0]
	if last.FreeTokens <= output {
		return nil
	}
	// The last segment gets an even share, less the answer, and at least a block.
	lastTokens := min(max((tokens+output)/n, output+prompt.BlockTokens)-output, last.FreeTokens-output, tokens)
	blocks := (tokens - lastTokens + prompt.BlockTokens - 1) / prompt.BlockTokens
	if blocks*prompt.BlockTokens >= tokens {
		return nil
	}
	var members []Member
	for i := n - 1; i > 0; i-- { // smallest first; blocks that a candidate has no room for go to larger ones
		share := min((blocks+i-1)/i, byFree[i].FreeTokens/prompt.BlockTokens)
		if share == 0 {
			return nil
		}
		blocks -= share
		segment := share * prompt.BlockTokens
		members = append(members, Member{Name: byFree[i].Name, Tokens: segment, ReserveTokens: segment})
		tokens -= segment
	}
	if tokens == 0 || tokens+output > last.FreeTokens {
		return nil
	}
	return append(members, Member{Name: last.Name, Tokens: tokens, ReserveTokens: tokens + output})
}
