package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	tokenBytes = 4
	alphabet   = "abcdefghijklmnopqrstuvwxyz234567"
	letterBits = 5
	letterMask = 1<<letterBits - 1
)

// ExpectedContent returns the complete content of the response to a request. The
// prompt is the contents of all messages joined by newlines. The content does not
// depend on the version, so that a caller can check a response from any version.
func ExpectedContent(requestID, prompt string, tokens int) string {
	seed := contentSeed(requestID, prompt)
	content := make([]byte, 0, tokens*tokenBytes)
	for i := 1; i <= tokens; i++ {
		content = appendToken(content, seed, i)
	}
	return string(content)
}

func contentSeed(requestID, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(requestID) // xxhash never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// appendToken appends the i-th token, counted from 1. A token is a space and three
// letters.
func appendToken(content []byte, seed uint64, i int) []byte {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	sum := xxhash.Sum64(key[:])
	content = append(content, ' ')
	for range tokenBytes - 1 {
		content = append(content, alphabet[sum&letterMask])
		sum >>= letterBits
	}
	return content
}
