package entry

import (
	"context"
	"net/http"
)

// Claims records which non-idempotent calls have been dispatched.
type Claims interface{}

func (e *Entry) serveClaimed(_ context.Context, _ *responder, _ *request) *Ending {
	return refuse(http.StatusServiceUnavailable, ReasonStoreDown, "claims are not available")
}
