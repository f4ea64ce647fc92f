// Package prompt estimates the length of prompts and names their prefixes.
package prompt

import (
	"encoding/binary"
	"hash/fnv"
	"math/bits"
)

const (
	bytesPerToken = 4
	// BlockTokens is the length of one prefix block in tokens.
	BlockTokens = 1024
	blockBytes  = BlockTokens * bytesPerToken
	// MaxBlocks bounds the prefix blocks named for one prompt.
	MaxBlocks = 64
)

// LengthClasses is the number of length classes.
const LengthClasses = 24

// LengthClass is the length class of a prompt, its size in powers of two. Engines are
// asked to compute prompts of a lower class first.
func LengthClass(tokens uint64) int { return min(bits.Len64(tokens), LengthClasses-1) }

// EstimateTokens estimates the tokens of a text of the given length in bytes, rounded up.
func EstimateTokens(bytes int) uint64 {
	return uint64(bytes+bytesPerToken-1) / bytesPerToken
}

// BlockHashes names the whole prefix blocks of a prompt, at most MaxBlocks. Each
// name covers the block and all before it, so equal names mean equal prefixes.
func BlockHashes(text string) []uint64 {
	count := min(len(text)/blockBytes, MaxBlocks)
	names := make([]uint64, 0, count)
	var previous [8]byte
	for i := range count {
		h := fnv.New64a()
		h.Write(previous[:])
		h.Write([]byte(text[i*blockBytes : (i+1)*blockBytes]))
		name := h.Sum64()
		binary.BigEndian.PutUint64(previous[:], name)
		names = append(names, name)
	}
	return names
}
