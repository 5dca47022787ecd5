package storage

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/basilloom/basilloom/internal/http1"
)

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 60 * time.Second
	maxIdleConnsPerHost = 16
	// maxListBytes bounds the instance list: 440 instances need about 60 kB.
	maxListBytes = 4 << 20
)

// newHTTPClient returns a client that uses no proxy and follows no redirects, because
// a write must reach only the configured endpoint. The configuration of TLS may be nil.
func newHTTPClient(config *tls.Config) *http.Client {
	plain := net.Dialer{Timeout: dialTimeout}
	// The timeout covers the handshake as well.
	secure := tls.Dialer{NetDialer: &net.Dialer{Timeout: 2 * dialTimeout}, Config: config}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         http1.DialContext(plain.DialContext),
			DialTLSContext:      http1.DialContext(secure.DialContext),
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// bufferedClient sends requests from memory. The SDK closes the body of a request when its
// response begins; net/http would then close the connection and lose the response.
type bufferedClient struct{ client *http.Client }

// Do implements the SDK's HTTPClient.
func (c bufferedClient) Do(r *http.Request) (*http.Response, error) {
	if r.Body != nil && r.Body != http.NoBody {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		r = r.WithContext(r.Context())
		r.Body, r.GetBody = io.NopCloser(bytes.NewReader(data)), nil
	}
	return c.client.Do(r)
}

// HTTPInstanceList reads the platform's instance list as a JSON array.
type HTTPInstanceList struct {
	url    string
	client *http.Client
}

// NewHTTPInstanceList returns an instance list that is read from url.
func NewHTTPInstanceList(url string) *HTTPInstanceList {
	return &HTTPInstanceList{url: url, client: newHTTPClient(nil)}
}

// List returns the records or ErrUnavailable. The caller's context sets the deadline.
func (l *HTTPInstanceList) List(ctx context.Context) ([]InstanceRecord, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: instance list: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: instance list: status %d", ErrUnavailable, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: instance list: %w", ErrUnavailable, err)
	}
	if len(body) > maxListBytes {
		return nil, fmt.Errorf("%w: instance list exceeds %d bytes", ErrUnavailable, maxListBytes)
	}
	var records []InstanceRecord
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, fmt.Errorf("%w: instance list: %w", ErrUnavailable, err)
	}
	return records, nil
}
