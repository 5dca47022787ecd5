package rawserver

import (
	"io"
	"time"
)

// Pause is the time between a response and the end of its connection. The client receives
// both apart.
const Pause = 20 * time.Millisecond

// Ending is a way to end a response that has neither a length nor chunks.
type Ending struct {
	Name string
	// Clean is set if the connection ends cleanly after the response.
	Clean bool
	// BeforeRequest is set if the connection may end before the request is written.
	BeforeRequest bool
	// Serve sends the response and ends the connection.
	Serve func(c *Conn, response string)
}

// Endings are the ways to end a response before, while and after a long upload is read.
var Endings = []Ending{
	{Name: "reset before the upload is written", BeforeRequest: true, Serve: func(c *Conn, response string) {
		c.Send(response)
		c.Reset()
	}},
	{Name: "reset before the upload is read", Serve: func(c *Conn, response string) {
		if _, err := c.Request(); err == nil {
			c.Send(response)
			time.Sleep(Pause)
			c.Reset()
		}
	}},
	{Name: "reset while the upload is read", Serve: func(c *Conn, response string) {
		if r, err := c.Request(); err == nil {
			c.Send(response)
			_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
			time.Sleep(Pause)
			c.Reset()
		}
	}},
	{Name: "closed with unread data", Serve: func(c *Conn, response string) {
		if _, err := c.Request(); err == nil {
			c.Send(response)
			time.Sleep(Pause)
			c.AwaitUnread()
		}
	}},
	{Name: "reset after the upload is read", Serve: func(c *Conn, response string) {
		if r, err := c.Request(); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			c.Send(response)
			time.Sleep(Pause)
			c.Reset()
		}
	}},
	{Name: "clean before the upload is read", Clean: true, Serve: func(c *Conn, response string) {
		if _, err := c.Request(); err == nil {
			c.Send(response)
			c.CloseWrite()
			c.Drain()
		}
	}},
	{Name: "clean while the upload is read", Clean: true, Serve: func(c *Conn, response string) {
		if r, err := c.Request(); err == nil {
			_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
			c.Send(response)
			time.Sleep(Pause)
			c.CloseWrite()
			c.Drain()
		}
	}},
	{Name: "clean, then reset before the upload is read", Clean: true, Serve: func(c *Conn, response string) {
		if _, err := c.Request(); err == nil {
			c.Send(response)
			c.CloseWrite()
			time.Sleep(Pause)
			c.Reset()
		}
	}},
	{Name: "clean after the upload is read", Clean: true, Serve: func(c *Conn, response string) {
		if r, err := c.Request(); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			c.Send(response)
			time.Sleep(Pause)
		}
	}},
}
