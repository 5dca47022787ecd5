package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client is a stand-in of callers.
type client struct {
	record *record
	http   *http.Client
	sent   atomic.Int64
}

func newClient(record *record) *client {
	return &client{record: record, http: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second,
	}}}
}

// send sends one attempt and returns the status, 0 without a response.
func (c *client) send(to *instance, method, path, body string) (id string, status int) {
	id = fmt.Sprintf("%08x%08x", time.Now().UnixMilli()&0xffffffff, c.sent.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeoutMs*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.frontend+path, strings.NewReader(body))
	if err != nil {
		c.record.printf("request not made: %v", err)
		return id, 0
	}
	if body == "" {
		request.Body, request.GetBody, request.ContentLength = http.NoBody, nil, 0
	}
	request.Host = routeHost
	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.Key, "Token "+apiKey)
	request.Header.Set(headers.Timeout, strconv.Itoa(clientTimeoutMs))
	c.record.log("sent %s %s %s to %s", id, method, path, to.name)
	response, err := c.http.Do(request)
	if err != nil {
		c.record.log("no answer to %s: %v", id, err)
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.log("broken answer to %s: %v", id, err)
		return id, 0
	}
	c.record.log("answer to %s: %d, seal %q, %s", id, response.StatusCode, response.Header.Get(headers.Seal), strings.TrimSpace(string(text)))
	return id, response.StatusCode
}

// soundTraffic sends requests at an interval to each instance until the returned function is
// called, which returns the numbers of requests sent and served.
func (c *client) soundTraffic(instances []*instance, interval time.Duration) (stop func() (sent, served int64)) {
	ctx, cancel := context.WithCancel(context.Background())
	var sent, served atomic.Int64
	var running sync.WaitGroup
	for k, i := range instances {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sent.Add(1)
				path, method, body := fmt.Sprintf("%sorder-%d-%d", safePrefix, k, n), http.MethodGet, ""
				if n%2 == 1 {
					path, method, body = unsafePrefix+"box", http.MethodPost, fmt.Sprintf("box %d of %d", n, k)
				}
				if _, status := c.send(i, method, path, body); status == http.StatusOK {
					served.Add(1)
				}
				select {
				case <-ctx.Done():
				case <-time.After(interval):
				}
			}
		})
	}
	return func() (int64, int64) {
		cancel()
		running.Wait()
		return sent.Load(), served.Load()
	}
}

var errNotServed = errors.New("a sound request was not served in calm")
