package peer

import (
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/basilloom/basilloom/internal/drain"
)

// Limits of callers that do not present the shared key.
const (
	// openCalls bounds their calls in work, openCallTimeout the time of each, and
	// maxOpenMessage the size of its message.
	openCalls       = 4
	openCallTimeout = 5 * time.Second
	maxOpenMessage  = 64 << 10
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 16 << 10
	// Limits of a connection on which nobody has presented the key.
	untrustedConnections = 24
	untrustedBytes       = 64 << 10
	untrustedTimeout     = 30 * time.Second
)

// ConnLimits are the limits of the connections to a peers' listener.
var ConnLimits = drain.Limits{
	UntrustedConnections: untrustedConnections, UntrustedBytes: untrustedBytes, UntrustedTimeout: untrustedTimeout,
}

var errTooManyCalls = errors.New("too many calls without the shared key")

// Authorize adds the key to the header of a call.
func (k Key) Authorize(header http.Header) { header.Set("Authorization", k.bearer) }

// requireKey refuses calls without the shared key before their messages are read.
func requireKey(key Key, next http.Handler) http.Handler {
	errors := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !key.matches(r.Header) {
			w.Header().Set("Connection", "close")
			_ = errors.Write(w, r, connect.NewError(connect.CodeUnauthenticated, errWrongKey)) // the caller may have disconnected
			return
		}
		drain.Trust(r.Context())
		next.ServeHTTP(w, r)
	})
}

// BoundOpenCalls serves calls without the shared key as well, which builds before the key was
// required send, but few at a time and not for long.
func BoundOpenCalls(key Key, next http.Handler) http.Handler {
	errors := connect.NewErrorWriter()
	running := make(chan struct{}, openCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if key.matches(r.Header) {
			drain.Trust(r.Context())
			next.ServeHTTP(w, r)
			return
		}
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
		default:
			_ = errors.Write(w, r, connect.NewError(connect.CodeResourceExhausted, errTooManyCalls)) // the caller may have disconnected
			return
		}
		controller := http.NewResponseController(w)
		deadline := time.Now().Add(openCallTimeout)
		_ = controller.SetReadDeadline(deadline) // supported by net/http's connections
		_ = controller.SetWriteDeadline(deadline)
		r.Body = http.MaxBytesReader(w, r.Body, maxOpenMessage)
		next.ServeHTTP(w, r)
	})
}
