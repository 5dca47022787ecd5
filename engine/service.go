package engine

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
)

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	ID     string
	Method string
	// Path holds the path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// hopByHopHeaders must not be forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader returns a copy of the headers without those that apply to one hop only.
func CopyHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// Call dispatches a plain service call once. The caller closes the body of the
// response. The error is a *DispatchError.
func (c *Client) Call(ctx context.Context, target Target, r ServiceRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, target.Address+r.Path, nil)
	if err != nil {
		return nil, &DispatchError{Err: err}
	}
	req.Header = CopyHeader(r.Header)
	req.Header.Del("Authorization")
	req.Header.Del("Content-Length")
	req.Header.Set(HeaderRequestID, r.ID)
	return c.transport.RoundTrip(req, r.Body)
}
