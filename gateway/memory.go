package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// Sizes of what a request holds.
const (
	// requestOverhead is what a request in flight holds apart from its header and its body:
	// the buffers and stacks of its two connections.
	requestOverhead = 32 << 10
	// minRead is the smallest buffer for a body. Larger ones grow with the bytes that arrive,
	// so that a declared length alone holds nothing.
	minRead = 4 << 10
)

// errNoMemory reports that the requests in flight hold all the memory they may.
var errNoMemory = errors.New("the requests in flight hold too many bytes")

// Memory bounds the bytes that all requests in flight hold: their headers and bodies, and
// responses and events until they are passed on. The zero value has no bound.
type Memory struct {
	limit, held atomic.Int64
}

// SetLimit sets the bound in bytes; 0 means none.
func (m *Memory) SetLimit(bytes int64) { m.limit.Store(bytes) }

// Held returns the bytes that are held now.
func (m *Memory) Held() int64 { return m.held.Load() }

func (m *Memory) reserve(bytes int64) bool {
	held := m.held.Add(bytes)
	if limit := m.limit.Load(); limit > 0 && held > limit {
		m.held.Add(-bytes)
		return false
	}
	return true
}

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

// headerBytes returns the size of a request's target and header.
func headerBytes(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
