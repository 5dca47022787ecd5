package gateway

import (
	"bytes"
	"strconv"
)

// maxEvent is the maximum size of one event; a stream with a longer one is rejected.
const maxEvent = 256 << 10

// eventSplitter splits a byte stream into complete server-sent events.
type eventSplitter struct {
	pending []byte
	// searched is the number of pending bytes that hold no end of an event. They are not
	// searched again, because a target may send an event byte by byte.
	searched int
}

// event is one complete event, including the blank line that ends it.
type event struct {
	raw []byte
	// id is the event's number; hasID is set if the event has one.
	id    int64
	hasID bool
}

// add appends a copy of p to the unprocessed bytes.
func (e *eventSplitter) add(p []byte) { e.pending = append(e.pending, p...) }

// next removes and returns the first complete event.
func (e *eventSplitter) next() (event, bool) {
	from := max(0, e.searched-maxBlankLine+1)
	end := blankLine(e.pending[from:])
	if end < 0 {
		e.searched = len(e.pending)
		return event{}, false
	}
	end += from
	found := event{raw: bytes.Clone(e.pending[:end])}
	e.pending, e.searched = e.pending[end:], 0
	for line := range bytes.Lines(found.raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			found.id, found.hasID = id, err == nil
		}
	}
	return found, true
}

// buffered returns the number of bytes that are not part of a complete event yet.
func (e *eventSplitter) buffered() int { return len(e.pending) }

// maxBlankLine is the length of the longest end of an event.
const maxBlankLine = len("\r\n\r\n")

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
