package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

// Sizes of what a request holds.
const (
	// requestOverhead is what a request in flight holds apart from its body and its caller's
	// connection, which includes the header: the buffers and stacks of the handler and of the
	// connection to the target.
	requestOverhead = 24 << 10
	// minRead is the smallest buffer for a body. Larger ones grow with the bytes that arrive,
	// so that a declared length alone holds nothing.
	minRead = 4 << 10
)

// errNoMemory reports that the callers' connections and requests hold all the memory they may.
var errNoMemory = errors.New("the requests in flight hold too many bytes")

// errConnectionClosed reports that the caller's connection was closed at a limit while its body
// arrived.
var errConnectionClosed = errors.New("the connection was closed before the request ran")

// Memory bounds the bytes that all requests in flight hold, together with the connections of
// their callers: bodies, and responses and events until they are passed on. The zero value has
// no bound.
type Memory struct {
	limit, held, connections atomic.Int64
	reclaim                  atomic.Pointer[func() bool]
}

// SetLimit sets the bound in bytes; 0 means none.
func (m *Memory) SetLimit(bytes int64) { m.limit.Store(bytes) }

// SetReclaim sets a function that frees memory of connections without a request and reports
// whether it found any.
func (m *Memory) SetReclaim(reclaim func() bool) { m.reclaim.Store(&reclaim) }

// Held returns the bytes that requests hold now.
func (m *Memory) Held() int64 { return m.held.Load() }

// Connections returns the bytes that connections hold now.
func (m *Memory) Connections() int64 { return m.connections.Load() }

// Reserve adds bytes that a connection holds. It returns false if the bound does not allow them.
func (m *Memory) Reserve(bytes int64) bool { return m.add(&m.connections, bytes) }

// Release removes bytes that a connection held.
func (m *Memory) Release(bytes int64) { m.connections.Add(-bytes) }

// reserve adds bytes that a request holds, in place of connections without a request if needed.
func (m *Memory) reserve(bytes int64) bool {
	for !m.add(&m.held, bytes) {
		reclaim := m.reclaim.Load()
		if reclaim == nil || !m.mayFit(bytes) || !(*reclaim)() {
			return false
		}
	}
	return true
}

// mayFit reports whether the requests' bytes fit if no connection held any.
func (m *Memory) mayFit(bytes int64) bool { return m.held.Load()+bytes <= m.limit.Load() }

func (m *Memory) add(account *atomic.Int64, bytes int64) bool {
	account.Add(bytes)
	if limit := m.limit.Load(); limit > 0 && m.held.Load()+m.connections.Load() > limit {
		account.Add(-bytes)
		return false
	}
	return true
}

// Holding is what one request of another handler holds of a Memory.
type Holding struct{ holding }

// ErrNoMemory is returned for bytes that the bound does not allow.
var ErrNoMemory = errNoMemory

// Hold returns a Holding with the overhead of a request, or ErrNoMemory.
func (m *Memory) Hold() (*Holding, error) {
	h := &Holding{holding{memory: m}}
	return h, h.grow(requestOverhead)
}

// Read reads a body of the given length, or of an unknown one if it is negative.
func (h *Holding) Read(from io.Reader, length int64) ([]byte, error) { return h.read(from, length) }

// Release ends the request.
func (h *Holding) Release() { h.release() }

// holding is what one request holds of a Memory. One goroutine uses it.
type holding struct {
	memory *Memory
	bytes  int64
}

// grow holds more bytes, or returns errNoMemory.
func (h *holding) grow(bytes int64) error {
	if !h.memory.reserve(bytes) {
		return errNoMemory
	}
	h.bytes += bytes
	return nil
}

func (h *holding) shrink(bytes int64) {
	h.bytes -= bytes
	h.memory.held.Add(-bytes)
}

func (h *holding) release() { h.shrink(h.bytes) }

// read reads to the end of a body of the given length, or of an unknown one if it is
// negative. The request then holds the capacity of the result, also if an error is returned
// with it.
func (h *holding) read(from io.Reader, length int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := h.enlarge(body, length)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// enlarge returns a copy of the body with room for more bytes. The capacity doubles up to
// one byte more than the length, which the end of the body is read into.
func (h *holding) enlarge(body []byte, length int64) ([]byte, error) {
	size := max(minRead, 2*int64(cap(body)))
	if length >= int64(len(body)) {
		size = min(size, length+1)
	}
	if err := h.grow(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	h.shrink(int64(cap(body)))
	return grown, nil
}
