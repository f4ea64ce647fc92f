package workload

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

const (
	bytesPerToken = 4
	prefixTokens  = 2048 // shared by the prompts of an organisation
	corpusTokens  = 1_200_000
	letters       = "abcdefghijklmnopqrstuvwxyz "
)

// Prompts writes the prompts of a plan.
type Prompts struct {
	corpus string
}

// NewPrompts returns texts that depend on the seed alone.
func NewPrompts(seed uint64) *Prompts {
	random := rand.New(rand.NewPCG(seed, 1))
	var corpus strings.Builder
	corpus.Grow(corpusTokens * bytesPerToken)
	for range corpusTokens * bytesPerToken {
		corpus.WriteByte(letters[random.IntN(len(letters))])
	}
	return &Prompts{corpus: corpus.String()}
}

// Prompt returns the prompt of a planned request: half of it, up to a bound, is
// shared within the organisation and the rest is its own.
func (t *Prompts) Prompt(p PlannedRequest) string {
	size := p.PromptTokens * bytesPerToken
	shared := t.slice(offset(p.Organisation), min(size/2, prefixTokens*bytesPerToken))
	header := fmt.Sprintf(" request %d: ", p.Number)
	own := max(0, size-len(shared)-len(header))
	return shared + header + t.slice(p.Number*prefixTokens, own)
}

func (t *Prompts) slice(from, size int) string {
	from %= max(1, len(t.corpus)-size)
	return t.corpus[from : from+size]
}

func offset(organisation string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	return int(h.Sum32())
}
