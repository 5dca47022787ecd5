// Package forward sends requests to targets over its own connection pool. Each call
// sends its request at most once and, if that fails, reports whether a byte of the
// request may have reached the target.
//
// net/http's transport is not used because it takes whatever arrives on a reused
// connection as the response to the current request. This package reads and discards
// a response that carries the id of an earlier request.
package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response's header belongs to this request.
	Matches func(http.Header) bool
	// NewConnection keeps the request off idle connections, whose target may have crashed.
	NewConnection bool
	// SendBy is the time by which the request must be written; zero means any time.
	SendBy time.Time
}

// Error is a failed send. It records how far the send progressed.
type Error struct {
	// Written is set if a byte of the request may have reached the target. If it is
	// not set, the target did not run the request.
	Written bool
	// Refused is set if nothing listens at the target's address.
	Refused bool
	Err     error
}

func (e *Error) Error() string {
	if e.Written {
		return fmt.Sprintf("sending the request failed after it was written: %v", e.Err)
	}
	return fmt.Sprintf("sending the request failed before it was written: %v", e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Response is a target's response. The caller must close the body.
type Response = http.Response

// Size limits.
const (
	// maxInlineBody is the largest body that is written before the response is read.
	// It fits into the socket buffer, so the write does not wait for the target.
	maxInlineBody = 16 << 10
	// maxBefore bounds what is read before the response to a request begins: its header,
	// and all interim responses and responses to earlier requests. A target may send
	// bytes without end.
	maxBefore = 256 << 10
	// maxHeader bounds one response header, which is held in memory while it is read.
	maxHeader = 32 << 10
)

var (
	errClosedEarly = errors.New("connection closed before the response")
	// ErrTooLate reports that the connection was ready only after Request.SendBy.
	ErrTooLate = errors.New("connection ready too late for the request")
	errTooLong = errors.New("response header exceeds the size limit")
)

// Do sends the request once to the target. Target identifies one start of a target,
// so connections to an earlier owner of the address are not used. The error is an
// *Error; it wraps the context's cause if the context has ended.
func (p *Pool) Do(ctx context.Context, target Target, request *Request) (*Response, error) {
	c, err := p.get(ctx, target, request.NewConnection)
	if err != nil {
		return nil, &Error{Refused: errors.Is(err, syscall.ECONNREFUSED), Err: cause(ctx, err)}
	}
	if !request.SendBy.IsZero() && time.Now().After(request.SendBy) {
		c.abort()
		return nil, &Error{Err: ErrTooLate}
	}
	stop := context.AfterFunc(ctx, c.abort)
	response, err := c.exchange(request)
	if err != nil {
		stop()
		c.abort()
		return nil, &Error{Written: c.wrote, Err: cause(ctx, err)}
	}
	response.Body = &body{
		conn: c, pool: p, stop: stop, ctx: ctx, inner: response.Body,
		reusable: !response.Close, idleTimeout: keepAliveTimeout(response.Header),
	}
	return response, nil
}

// cause returns the context's cause if the context has ended, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// exchange writes the request and reads the header of its response.
func (c *conn) exchange(request *Request) (*Response, error) {
	c.Expect(request.Method)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.URI, request.Host)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.Body))
	}
	if err := request.Header.Write(&head); err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	head.WriteString("\r\n")
	c.wrote = true
	if len(request.Body) <= maxInlineBody {
		head.Write(request.Body)
		if _, err := c.Write(head.Bytes()); err != nil {
			return nil, err
		}
		return c.readResponse(request)
	}
	// A target may respond before it has read a long body.
	c.writeDone = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head.Bytes(), request.Body}
		_, err := buffers.WriteTo(c.Conn)
		c.writeDone <- err
	}()
	return c.readResponse(request)
}

// readResponse returns the response to the request and discards interim responses and
// those to earlier requests.
func (c *conn) readResponse(request *Request) (*Response, error) {
	left := int64(maxBefore)
	for {
		header := min(left, maxHeader)
		c.limit.left = header
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errClosedEarly
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK && request.Matches(response.Header) {
			c.limit.left = math.MaxInt64 // the reader of the body bounds its length
			return response, nil
		}
		c.limit.left += left - header
		if err := discard(response); err != nil {
			return nil, err
		}
		left = c.limit.left
	}
}

// discard reads an interim response, or one to an earlier request, to its end.
func discard(response *Response) error {
	_, err := io.Copy(io.Discard, response.Body)
	err = errors.Join(err, response.Body.Close())
	if err != nil || response.Close {
		return fmt.Errorf("discard the response to another request: %w", errors.Join(err, errClosedEarly))
	}
	return nil
}

// body returns its connection to the pool if it was read to the end.
type body struct {
	conn        *conn
	pool        *Pool
	stop        func() bool
	ctx         context.Context
	inner       io.ReadCloser
	reusable    bool
	idleTimeout time.Duration
	ended       bool
	closed      bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
		return n, err
	}
	if err != nil {
		err = cause(b.ctx, err)
	}
	return n, err
}

func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	notAborted := b.stop()
	if b.ended && b.reusable && notAborted && b.conn.writeCompleted() {
		b.pool.put(b.conn, b.idleTimeout)
		return nil
	}
	b.conn.abort()
	return nil
}
