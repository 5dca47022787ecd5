package gateway

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event of a stream; a longer one is not an event.
const maxEvent = 1 << 20

// events splits a stream of server-sent events, so that only whole ones are passed on.
type events struct {
	pending []byte
}

// event is one whole event with the blank line that ends it.
type event struct {
	raw []byte
	// id is the event's number; hasID is false if it has none.
	id    int64
	hasID bool
}

// add appends bytes of the stream. They must not be changed before the next call of next.
func (e *events) add(p []byte) { e.pending = append(e.pending, p...) }

// next removes the first whole event.
func (e *events) next() (event, bool) {
	end := blankLine(e.pending)
	if end < 0 {
		return event{}, false
	}
	found := event{raw: bytes.Clone(e.pending[:end])}
	e.pending = e.pending[end:]
	for line := range bytes.Lines(found.raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			found.id, found.hasID = id, err == nil
		}
	}
	return found, true
}

// rest is the number of bytes that do not make a whole event yet.
func (e *events) rest() int { return len(e.pending) }

// blankLine returns the position after the first blank line, or -1.
func blankLine(p []byte) int {
	unix, dos := bytes.Index(p, []byte("\n\n")), bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case unix < 0 && dos < 0:
		return -1
	case dos < 0 || (unix >= 0 && unix < dos):
		return unix + len("\n\n")
	default:
		return dos + len("\r\n\r\n")
	}
}
