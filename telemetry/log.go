package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the decision log.
const (
	// logQueueLines is the number of lines that can be queued for the output. Further
	// lines are dropped.
	logQueueLines = 2048
	// logQueueBytes bounds the bytes of the queued lines, which contain what callers send.
	logQueueBytes = 2 << 20
	// logCloseTimeout bounds the time that Close waits for the output.
	logCloseTimeout = 500 * time.Millisecond
)

// boundedWriter writes lines in its own goroutine and drops lines while its queue
// is full, so that a request never waits for an output that is not read.
type boundedWriter struct {
	lines chan []byte
	// queuedBytes is the length of the lines in the queue.
	queuedBytes atomic.Int64
	// unreported counts the dropped lines that the log has not reported yet, total counts
	// all dropped lines.
	unreported, total atomic.Int64
	done              chan struct{}
	out               io.Writer
	closing           sync.Once
	quit              chan struct{}
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{}), quit: make(chan struct{}), out: out}
	go w.run()
	return w
}

// Write implements io.Writer for zapcore.WriteSyncer. It never blocks and never fails.
func (w *boundedWriter) Write(p []byte) (int, error) {
	if w.queuedBytes.Add(int64(len(p))) <= logQueueBytes {
		select {
		case w.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	w.queuedBytes.Add(-int64(len(p)))
	w.unreported.Add(1)
	w.total.Add(1)
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *boundedWriter) Sync() error { return nil }

func (w *boundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			w.flush()
			return
		}
	}
}

// write writes a line together with the queued lines, so that a burst needs few
// system calls.
func (w *boundedWriter) write(line []byte) {
	batch := line
	w.queuedBytes.Add(-int64(len(line)))
	for len(batch) < maxBatchBytes {
		select {
		case next := <-w.lines:
			w.queuedBytes.Add(-int64(len(next)))
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	if dropped := w.unreported.Swap(0); dropped > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)...)
	}
	_, _ = w.out.Write(batch) // there is no other log to report an error to
}

// maxBatchBytes is the size from which a batch of lines is written without adding more.
const maxBatchBytes = 32 << 10

func (w *boundedWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *boundedWriter) close() {
	w.closing.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(logCloseTimeout):
	}
}

// DecisionLog is a log of JSON lines. It drops lines instead of waiting for its output.
type DecisionLog struct {
	*zap.Logger
	writer *boundedWriter
}

// NewDecisionLog returns a log that writes lines of the given level and above to out.
func NewDecisionLog(level string, out io.Writer) (*DecisionLog, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	writer := newBoundedWriter(out)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer, zap.NewAtomicLevelAt(parsed))
	return &DecisionLog{Logger: zap.New(core), writer: writer}, nil
}

// Dropped returns the number of lines that were dropped.
func (l *DecisionLog) Dropped() int64 { return l.writer.total.Load() }

// Close writes the queued lines. It waits for at most logCloseTimeout.
func (l *DecisionLog) Close() { l.writer.close() }
