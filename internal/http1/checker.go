package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports bytes that are not a response of HTTP/1.1 (RFC 9112).
type MalformedError struct {
	// Part is the part of the response, Line the line that breaks the protocol.
	Part, Line string
	Cause      string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s: %s: %q", e.Part, e.Cause, e.Line)
}

// Limits of what is kept of a response.
const (
	// maxLine bounds a line, which is kept until its end has arrived.
	maxLine = http.DefaultMaxHeaderBytes
	// maxQuoted bounds the part of a line in an error.
	maxQuoted = 80
)

var errLongLine = fmt.Errorf("response has a line of more than %d bytes", maxLine)

// checker follows the responses on a connection and reports the first line that is not one
// of the protocol. It is stricter than net/http, and frames each response like net/http, so
// that it checks the same bytes as heads, trailers and chunk sizes.
type checker struct {
	// headRequest is set while responses are those to a HEAD request and have no body.
	headRequest atomic.Bool

	part part
	// line is the begun line, left the number of bytes to the end of the body or chunk.
	line []byte
	left int64
	head head
}

// part is the part of a response that the next byte belongs to.
type part int

const (
	partStatus part = iota
	partFields
	partBody
	// partRest is a body that ends with the connection.
	partRest
	partChunkSize
	partChunk
	partTrailer
)

var partNames = map[part]string{
	partStatus: "status line", partFields: "header", partChunkSize: "chunk size", partTrailer: "trailer",
}

// head holds what the framing of a response depends on.
type head struct {
	status  int
	http10  bool
	length  int64 // -1 without Content-Length
	chunked bool
}

// check takes the next bytes of the connection. With an error, it returns the number of bytes
// before the line that breaks the protocol.
func (c *checker) check(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		switch c.part {
		case partRest:
			return len(p), nil
		case partBody, partChunk:
			n := int(min(c.left, int64(len(p)-done)))
			done += n
			c.left -= int64(n)
			c.endBody()
		default:
			line, _, ended := bytes.Cut(p[done:], []byte("\n"))
			if len(c.line)+len(line) > maxLine {
				return done, errLongLine
			}
			if !ended {
				c.line = append(c.line, line...)
				return len(p), nil
			}
			end := len(line)
			if len(c.line) > 0 {
				line = append(c.line, line...)
				c.line = nil
			}
			if err := c.takeLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
				return done, err
			}
			done += end + 1
		}
	}
	return done, nil
}

// endBody begins the next part if the body or chunk has ended.
func (c *checker) endBody() {
	switch {
	case c.left > 0:
	case c.part == partChunk:
		c.part = partChunkSize
	default:
		c.part = partStatus
	}
}

// takeLine checks a line without its end and begins the part that follows it.
func (c *checker) takeLine(line []byte) error {
	at := c.part
	if err := c.checkLine(line); err != nil {
		return &MalformedError{Part: partNames[at], Line: string(line[:min(len(line), maxQuoted)]), Cause: err.Error()}
	}
	return nil
}

func (c *checker) checkLine(line []byte) error {
	switch {
	case c.part == partStatus:
		c.part = partFields
		return c.head.takeStatus(line)
	case c.part == partChunkSize:
		return c.takeChunkSize(line)
	case len(line) > 0:
		return c.takeField(line)
	case c.part == partFields:
		return c.endHead()
	default:
		c.part = partStatus
		return nil
	}
}

const versionLen = len("HTTP/1.1")

// takeStatus checks a status line. Many servers leave out the space before an empty reason.
func (h *head) takeStatus(line []byte) error {
	*h = head{length: -1}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != versionLen || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[versionLen-1]) {
		return errors.New("not HTTP/1")
	}
	h.http10 = version[versionLen-1] == '0'
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return errors.New("no status code")
	}
	h.status, _ = strconv.Atoi(string(code)) // three digits
	if h.status < 100 || h.status > 599 {
		return errors.New("unknown class of status")
	}
	if h.status == http.StatusSwitchingProtocols {
		return errors.New("no other protocol was asked for")
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return errors.New("control character in the reason")
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// takeField checks a field line of a header or trailer. A line that begins with a blank, which
// continues the value before it in obsolete messages, is an error: a gateway may discard such a
// response (RFC 9112, section 5.2).
func (c *checker) takeField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return errors.New("no colon")
	}
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.New("field name is not a token")
	}
	value = bytes.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.New("control character in a field value")
	}
	isLength, isCoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	switch {
	case c.part == partTrailer && (isLength || isCoding):
		return errors.New("framing in a trailer")
	case isLength:
		return c.head.takeLength(value)
	case isCoding:
		return c.head.takeCoding(value)
	}
	return nil
}

// takeLength checks a Content-Length. Equal ones may be repeated (RFC 9112, section 6.3).
func (h *head) takeLength(value []byte) error {
	for _, b := range value {
		if !isDigit(b) {
			return errors.New("length is not a number")
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return errors.New("length is not a number")
	}
	if h.length >= 0 && h.length != n {
		return errors.New("different lengths")
	}
	h.length = n
	return nil
}

func (h *head) takeCoding(value []byte) error {
	if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
		return errors.New("transfer coding other than chunked")
	}
	h.chunked = true
	return nil
}

// endHead checks how the body is framed and begins it.
func (c *checker) endHead() error {
	h := c.head
	noBody := h.status < 200 || h.status == http.StatusNoContent
	switch {
	case h.chunked && h.http10:
		return errors.New("transfer coding in HTTP/1.0")
	case h.chunked && h.length >= 0:
		return errors.New("both a length and a transfer coding")
	case noBody && (h.chunked || h.length > 0):
		return errors.New("body of a status without one")
	case noBody || h.status == http.StatusNotModified || c.headRequest.Load() || h.length == 0:
		c.part = partStatus
	case h.chunked:
		c.part = partChunkSize
	case h.length > 0:
		c.part, c.left = partBody, h.length
	default:
		c.part = partRest
	}
	return nil
}

const crlfLen = len("\r\n")

// takeChunkSize begins the chunk or the trailer. net/http checks the end of the line and of
// the chunk.
func (c *checker) takeChunkSize(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
	if err != nil {
		return errors.New("chunk size is not a number")
	}
	c.part = partTrailer
	if n > 0 {
		c.part, c.left = partChunk, int64(n)+int64(crlfLen)
	}
	return nil
}
