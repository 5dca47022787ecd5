package gateway

import (
	"net/http"
	"time"
)

// Call is what a caller's header says of a request.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Key is the caller's key, empty without one.
	Key string
	// PromptTokens and OutputTokens are the size of a generation; 0 for other requests.
	PromptTokens, OutputTokens int
	// ExpectedOutput is the caller's estimate of the generated tokens; 0 without one.
	ExpectedOutput int
}

// SendOptions is what the system adds to a request for a target.
type SendOptions struct {
	Target string
	// Remaining is how long the target may work.
	Remaining time.Duration
	// Workspace is empty for a request without one.
	Workspace string
	// LastEventID continues a stream behind the event with this id; empty otherwise.
	LastEventID string
}

// ResponseInfo is what a target's header says of its answer.
type ResponseInfo struct {
	// RequestID is the id of the request that it answers.
	RequestID string
	// Signed answers carry the target's signature.
	Signed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if another target answered at the address.
	WrongTarget bool
}

// HeaderCodec translates between the headers of callers and targets and the types above.
type HeaderCodec interface {
	DecodeCall(h http.Header) Call
	// EncodeSend changes the copy of a caller's header to what the target gets.
	EncodeSend(h http.Header, send SendOptions)
	DecodeResponse(status int, h http.Header) ResponseInfo
	// EncodeRefusal sets the time after which a refused caller should ask again.
	EncodeRefusal(h http.Header, retryAfter time.Duration)
}
