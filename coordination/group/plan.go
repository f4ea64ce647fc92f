// Package group decides how a prompt that no single endpoint can hold is spread
// over several: it plans the segments and reserves memory for all or none.
package group

import (
	"cmp"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// MaxMembers bounds the endpoints of one group.
const MaxMembers = 8

// Candidate is an endpoint that could hold a part of a prompt.
type Candidate struct {
	Name          string
	FreeTokens    uint64 // tokens, as last reported
	MaxFreeTokens uint64 // tokens that may be free by now
}

// Member is an endpoint with its part of a prompt.
type Member struct {
	Name          string
	Tokens        uint64 // of its segment
	ReserveTokens uint64 // tokens to be reserved, the answer's included at the last member
}

// Plan spreads a prompt and its longest answer over the fewest candidates. The
// members are in the order of their segments; all segments but the last are
// whole prefix blocks. It is nil when the free memory is too small.
func Plan(tokens, output uint64, candidates []Candidate) []Member {
	most := slices.Clone(candidates)
	slices.SortFunc(most, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), cmp.Compare(a.Name, b.Name))
	})
	for n := 2; n <= min(len(most), MaxMembers); n++ {
		if members := spread(tokens, output, most[:n]); members != nil {
			return members
		}
	}
	return nil
}

// spread divides the prompt evenly as far as memory allows. The candidate with
// the most memory comes first in the list and gets the last segment.
func spread(tokens, output uint64, most []Candidate) []Member {
	n := uint64(len(most))
	last := most[0]
	if last.FreeTokens <= output {
		return nil
	}
	own := min(max((tokens+output)/n, output+prompt.BlockTokens)-output, last.FreeTokens-output, tokens)
	blocks := (tokens - own + prompt.BlockTokens - 1) / prompt.BlockTokens
	if blocks*prompt.BlockTokens >= tokens {
		return nil
	}
	var members []Member
	for i := n - 1; i > 0; i-- { // the least memory first, so that none is left over
		share := min((blocks+i-1)/i, most[i].FreeTokens/prompt.BlockTokens)
		if share == 0 {
			return nil
		}
		blocks -= share
		part := share * prompt.BlockTokens
		members = append(members, Member{Name: most[i].Name, Tokens: part, ReserveTokens: part})
		tokens -= part
	}
	if tokens == 0 || tokens+output > last.FreeTokens {
		return nil
	}
	return append(members, Member{Name: last.Name, Tokens: tokens, ReserveTokens: tokens + output})
}
