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

func TestLogLevelIsChecked(t *testing.T) {
	_, err := NewDecisionLog("loud", &bytes.Buffer{})
	require.Error(t, err)
}
