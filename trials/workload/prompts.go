package workload

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

const (
	bytesPerToken      = 4
	sharedPrefixTokens = 2048      // longest prefix that the prompts of an organisation share
	corpusTokens       = 1_200_000 // more than the longest prompt, which is a slice of it
	alphabet           = "abcdefghijklmnopqrstuvwxyz "
)

// Prompts generates the prompts of a plan from a random text, the corpus.
type Prompts struct {
	corpus string
}

// NewPrompts returns a generator whose prompts depend on the seed and the request alone.
func NewPrompts(seed uint64) *Prompts {
	random := rand.New(rand.NewPCG(seed, 1))
	var corpus strings.Builder
	corpus.Grow(corpusTokens * bytesPerToken)
	for range corpusTokens * bytesPerToken {
		corpus.WriteByte(alphabet[random.IntN(len(alphabet))])
	}
	return &Prompts{corpus: corpus.String()}
}

// Prompt returns the prompt of a planned request. Its first half, 2048 tokens at most,
// is a prefix that the prompts of the organisation share; the rest differs by request.
func (t *Prompts) Prompt(p PlannedRequest) string {
	size := p.PromptTokens * bytesPerToken
	shared := t.slice(corpusOffset(p.Organisation), min(size/2, sharedPrefixTokens*bytesPerToken))
	header := fmt.Sprintf(" request %d: ", p.Number)
	own := max(0, size-len(shared)-len(header))
	return shared + header + t.slice(p.Number*sharedPrefixTokens, own)
}

// slice returns size bytes of the corpus. The offset is reduced so that they fit in.
func (t *Prompts) slice(from, size int) string {
	from %= max(1, len(t.corpus)-size)
	return t.corpus[from : from+size]
}

// corpusOffset returns where the organisation's shared prefix starts, before reduction.
func corpusOffset(organisation string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	return int(h.Sum32())
}
