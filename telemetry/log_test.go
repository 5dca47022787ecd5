package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// blockingWriter blocks until it is released.
type blockingWriter struct {
	release  chan struct{}
	mu       sync.Mutex
	received bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received.Write(p)
}

// Guards against requests that block because the log output is not read, and against
// dropped lines that the log does not report.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	log, err := NewDecisionLog("info", out)
	require.NoError(t, err)
	start := time.Now()
	for i := range 3 * logQueueLines {
		log.Info("test line", zap.Int("i", i))
	}
	require.Less(t, time.Since(start), time.Second)
	close(out.release)
	log.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Contains(t, out.received.String(), `"msg":"log lines dropped"`)
	require.Greater(t, strings.Count(out.received.String(), `"msg":"test line"`), logQueueLines)
}

// Guards against memory that grows with the length of the lines while the output is not read.
// Callers choose the ids that lines contain.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	log, err := NewDecisionLog("info", out)
	require.NoError(t, err)
	const longLine = 64 << 10
	for range logQueueLines {
		log.Info("test line", zap.String("id", strings.Repeat("x", longLine)))
	}
	require.Greater(t, log.Dropped(), int64(logQueueLines/2))
	close(out.release)
	log.Close()
	out.mu.Lock()
	require.LessOrEqual(t, out.received.Len(), logQueueBytes+2*longLine+maxBatchBytes)
	out.mu.Unlock()
	log, err = NewDecisionLog("info", &bytes.Buffer{})
	require.NoError(t, err)
	for range 2 * logQueueBytes / longLine {
		log.Info("test line", zap.String("id", strings.Repeat("x", longLine)))
		time.Sleep(time.Millisecond)
	}
	log.Close()
	require.Zero(t, log.Dropped(), "lines that were written leave the queue")
}

func TestLogLevelIsChecked(t *testing.T) {
	_, err := NewDecisionLog("loud", &bytes.Buffer{})
	require.Error(t, err)
}
