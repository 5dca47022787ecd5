package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against processor time that grows with the square of an event's length when a target
// sends it in small pieces.
func TestLongEventInSmallPieces(t *testing.T) {
	const events, timeLimit = 4, 5 * time.Second
	var splitter eventSplitter
	startedAt := time.Now()
	for range events {
		for range maxEvent {
			splitter.add([]byte("x"))
			_, ok := splitter.next()
			require.False(t, ok)
		}
		for _, part := range []string{"\r", "\n", "\r"} {
			splitter.add([]byte(part))
			_, ok := splitter.next()
			require.False(t, ok)
		}
		splitter.add([]byte("\nnext"))
		found, ok := splitter.next()
		require.True(t, ok)
		require.Equal(t, maxEvent+maxBlankLine, len(found.raw))
		require.True(t, bytes.HasSuffix(found.raw, []byte("x\r\n\r\n")))
		splitter.add([]byte("\n\n"))
		found, ok = splitter.next()
		require.True(t, ok)
		require.Equal(t, "next\n\n", string(found.raw))
	}
	require.Less(t, time.Since(startedAt), timeLimit)
}
