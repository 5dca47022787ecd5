// Package prefix computes the hashes that identify prompt prefixes in the
// caches of model engines.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prompts and blocks.
const (
	// BytesPerToken is the estimated number of prompt bytes per token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one cached block.
	BlockTokens = 64
	// BlockBytes is the number of prompt bytes in one cached block.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxTicketHashes bounds the hashes that a ticket carries.
	MaxTicketHashes = 12
)

// Tokens estimates the number of tokens of a text of n bytes.
func Tokens(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns one hash for each full block of the text. Each hash covers the
// text from its start to the end of the block.
func Blocks(text []byte) []uint64 {
	hashes := make([]uint64, 0, len(text)/BlockBytes)
	var chain [8]byte
	digest := xxhash.New()
	for len(text) >= BlockBytes {
		digest.Reset()
		_, _ = digest.Write(chain[:]) // xxhash never fails
		_, _ = digest.Write(text[:BlockBytes])
		sum := digest.Sum64()
		hashes = append(hashes, sum)
		binary.LittleEndian.PutUint64(chain[:], sum)
		text = text[BlockBytes:]
	}
	return hashes
}

// Sample selects the hashes at block counts 1, 2, 4, 8 and so on, at most
// MaxTicketHashes. This bounds the size of a ticket for long prompts.
func Sample(blocks []uint64) []uint64 {
	sample := make([]uint64, 0, MaxTicketHashes)
	for count := 1; count <= len(blocks) && len(sample) < MaxTicketHashes; count *= 2 {
		sample = append(sample, blocks[count-1])
	}
	return sample
}

// SampledTokens returns the prompt tokens that the i-th hash of a sample covers.
func SampledTokens(i int) int {
	return BlockTokens << i
}
