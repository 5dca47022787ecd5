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

// Sizes of the decision log.
const (
	// logQueue bounds the lines that wait for the output; further ones are dropped.
	logQueue = 2048
	// logClose bounds the wait for the output at the end of the process.
	logClose = 500 * time.Millisecond
)

// boundedWriter writes lines in its own goroutine and drops them while its queue
// is full, so that a log that is not read never holds up a request.
type boundedWriter struct {
	lines chan []byte
	// dropped counts the dropped lines that no line tells of yet, total all of them.
	dropped, total atomic.Int64
	done           chan struct{}
	out            io.Writer
	closing        sync.Once
	quit           chan struct{}
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	w := &boundedWriter{lines: make(chan []byte, logQueue), done: make(chan struct{}), quit: make(chan struct{}), out: out}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer's writer. It never blocks and never fails.
func (w *boundedWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
		w.total.Add(1)
	}
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

// write joins the lines that wait, so that a burst costs few system calls.
func (w *boundedWriter) write(line []byte) {
	batch := line
	for len(batch) < maxBatchBytes {
		select {
		case next := <-w.lines:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)...)
	}
	_, _ = w.out.Write(batch) // there is no other place to report it
}

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
	case <-time.After(logClose):
	}
}

// DecisionLog is a log of JSON lines that drops lines rather than wait for its output.
type DecisionLog struct {
	*zap.Logger
	writer *boundedWriter
}

// NewDecisionLog returns a log that writes to out from the given level on.
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

// Close writes what is queued.
func (l *DecisionLog) Close() { l.writer.close() }
