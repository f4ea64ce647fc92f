// Package prompt estimates the length of prompts and hashes their prefixes.
package prompt

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
)

const (
	// bytesPerToken is the mean length of a token that the estimates assume; nothing is
	// tokenized here. coordination/relay has a copy that must be equal.
	bytesPerToken = 4
	// BlockTokens is the length of one prefix block in estimated tokens, which is 4096
	// bytes of text. Routing compares the blocks of a prompt with those in an endpoint's
	// prefix cache. Longer blocks need fewer hashes but find less of a shared prefix.
	BlockTokens = 1024
	blockBytes  = BlockTokens * bytesPerToken
	// MaxBlocks is the largest number of prefix blocks that are hashed for a prompt.
	MaxBlocks = 64
)

// LengthClasses is the number of length classes. The last one holds the prompts of
// 2^22 = 4,194,304 tokens and more, above the 4,000,000 that a contract may allow.
const LengthClasses = 24

// LengthClass returns the length class of a prompt: the bit length of its number of
// tokens, at most LengthClasses-1. Engines are asked to prefill prompts of a lower class first.
func LengthClass(tokens uint64) int { return min(bits.Len64(tokens), LengthClasses-1) }

// EstimateTokens returns the estimated tokens of a text with the given length in bytes,
// rounded up.
func EstimateTokens(bytes int) uint64 {
	return uint64(bytes+bytesPerToken-1) / bytesPerToken
}

// BlockHashes returns the hashes of the complete prefix blocks of a prompt, at most
// MaxBlocks. Each hash covers its block and all blocks before it, so equal hashes
// mean equal prefixes.
func BlockHashes(text string) []uint64 {
	count := min(len(text)/blockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	var previous [8]byte
	for i := range count {
		h := fnv.New64a()
		h.Write(previous[:])
		h.Write([]byte(text[i*blockBytes : (i+1)*blockBytes]))
		hash := h.Sum64()
		binary.BigEndian.PutUint64(previous[:], hash)
		hashes = append(hashes, hash)
	}
	return hashes
}
