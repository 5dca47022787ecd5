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

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// Guards against a log that is not read and holds up the requests that write it,
// and against dropped lines that nothing tells of.
func TestLogNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	log, err := NewDecisionLog("info", out)
	require.NoError(t, err)
	began := time.Now()
	for i := range 3 * logQueue {
		log.Info("line", zap.Int("i", i))
	}
	require.Less(t, time.Since(began), time.Second)
	close(out.release)
	log.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Contains(t, out.got.String(), `"msg":"log lines dropped"`)
	require.Greater(t, strings.Count(out.got.String(), `"msg":"line"`), logQueue)
}

func TestLogLevelIsChecked(t *testing.T) {
	_, err := NewDecisionLog("loud", &bytes.Buffer{})
	require.Error(t, err)
}
