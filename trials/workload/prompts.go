package workload

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

const (
	promptBytesPerToken = 4 // equal to the estimate of package prompt, by which entries count prompt tokens
	// sharedPrefixTokens is the length of the longest prefix that the prompts of an
	// organisation share. The same number is the distance, in bytes, between the corpus
	// offsets of consecutive requests.
	sharedPrefixTokens = 2048
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
	corpus.Grow(corpusTokens * promptBytesPerToken)
	for range corpusTokens * promptBytesPerToken {
		corpus.WriteByte(alphabet[random.IntN(len(alphabet))])
	}
	return &Prompts{corpus: corpus.String()}
}

// Prompt returns the prompt of a planned request. Its first half, 2048 tokens at most,
// is a prefix that the prompts of the organisation share; the rest differs by request.
func (t *Prompts) Prompt(p PlannedRequest) string {
	size := p.PromptTokens * promptBytesPerToken
	shared := t.slice(corpusOffset(p.Organisation), min(size/2, sharedPrefixTokens*promptBytesPerToken))
	header := fmt.Sprintf(" request %d: ", p.Number)
	own := max(0, size-len(shared)-len(header))
	return shared + header + t.slice(p.Number*sharedPrefixTokens, own)
}

// slice returns size bytes of the corpus from an offset. The offset is taken modulo the
// number of offsets from which so many bytes are left.
func (t *Prompts) slice(from, size int) string {
	from %= max(1, len(t.corpus)-size)
	return t.corpus[from : from+size]
}

// corpusOffset returns the offset of the organisation's shared prefix, to be passed to slice.
func corpusOffset(organisation string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	return int(h.Sum32())
}
