package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	kind   string
	sentAt time.Time
	// took is the time to the end of the answer, or until the client left.
	took   time.Duration
	status int
	// unanswered is set if the client left without the end of an answer.
	unanswered bool
	err        error
}

// clients sends requests and collects their answers.
type clients struct {
	d       *deployment
	numbers atomic.Int64
	http    *http.Client
	running sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func newClients(d *deployment) *clients {
	return &clients{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// call is one request of a client.
type call struct {
	kind, path string
	in, out    int
	// deadline is how long the client waits.
	deadline time.Duration
}

// send sends a request and waits for its answer in the background.
func (c *clients) send(m *machine, k call) {
	c.running.Go(func() {
		a := c.do(m, k)
		c.d.record.write("client %s (%s): status %d after %.3f s, unanswered %v, error %v", a.id, a.kind, a.status, a.took.Seconds(), a.unanswered, a.err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	})
}

func (c *clients) do(m *machine, k call) answer {
	a := answer{id: fmt.Sprintf("%s-%d", k.kind, c.numbers.Add(1)), kind: k.kind, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.frontend()+k.path, strings.NewReader("prompt"))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": a.id, "Model": "m", headers.Tokens: fmt.Sprintf("%d,%d", k.in, k.out), headers.Parts: fmt.Sprintf("5c1e07a2:60,%x:%d", time.Now().UnixNano(), k.in-60),
		headers.Timeout: fmt.Sprint(k.deadline.Milliseconds()), "Authorization": "Token " + key,
	} {
		request.Header.Set(name, value)
	}
	c.d.record.write("client %s (%s) sends to %s, tokens %d,%d", a.id, a.kind, m.name, k.in, k.out)
	response, err := c.http.Do(request)
	if err == nil {
		a.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		err = errors.Join(err, response.Body.Close())
	}
	a.took = time.Since(a.sentAt)
	a.err = err
	a.unanswered = errors.Is(err, context.DeadlineExceeded)
	return a
}
