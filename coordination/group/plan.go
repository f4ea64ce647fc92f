// Package group splits a prompt that no single endpoint has memory for into
// segments for a group of endpoints. It plans the segments and reserves the memory
// at all endpoints of the group or at none.
package group

import (
	"cmp"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// MaxMembers is the largest number of endpoints in one group.
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

// Plan splits a prompt with room for its longest answer over as few candidates as
// possible; tokens and output are their lengths in tokens. The members are in the
// order of their segments, of which all but the last consist of whole prefix
// blocks. Plan returns nil when the candidates have too little free memory.
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

// splitPrompt splits the prompt as evenly as memory allows. The candidates are in
// descending order of free memory; the first one gets the last segment, which
// needs memory for the answer too. It returns nil when they have too little.
func splitPrompt(tokens, output uint64, byFree []Candidate) []Member {
	n := uint64(len(byFree))
	last := byFree[0]
	if last.FreeTokens <= output {
		return nil
	}
	own := min(max((tokens+output)/n, output+prompt.BlockTokens)-output, last.FreeTokens-output, tokens)
	blocks := (tokens - own + prompt.BlockTokens - 1) / prompt.BlockTokens
	if blocks*prompt.BlockTokens >= tokens {
		return nil
	}
	var members []Member
	for i := n - 1; i > 0; i-- { // smallest first, so that larger candidates take what it has no room for
		share := min((blocks+i-1)/i, byFree[i].FreeTokens/prompt.BlockTokens)
		if share == 0 {
			return nil
		}
		blocks -= share
		part := share * prompt.BlockTokens
		members = append(members, Member{Name: byFree[i].Name, Tokens: part, ReserveTokens: part})
		tokens -= part
	}
	if tokens == 0 || tokens+output > last.FreeTokens {
		return nil
	}
	return append(members, Member{Name: last.Name, Tokens: tokens, ReserveTokens: tokens + output})
}
