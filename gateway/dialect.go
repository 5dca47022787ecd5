package gateway

import (
	"net/http"
	"time"
)

// Call is what a caller's header says of a request.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Patience is how long the caller waits; 0 if it does not say.
	Patience time.Duration
	// Key is the caller's key, empty without one.
	Key string
	// PromptTokens and OutputTokens are the size of a generation; 0 for other requests.
	PromptTokens, OutputTokens int
	// ExpectedOutput is the caller's estimate of the generated tokens; 0 without one.
	ExpectedOutput int
}

// Send is what the system adds to a request for a target.
type Send struct {
	Target string
	// Left is how long the target may work.
	Left time.Duration
	// Workspace is empty for a request without one.
	Workspace string
	// After continues a stream behind the event with this id; empty otherwise.
	After string
}

// Answer is what a target's header says of its answer.
type Answer struct {
	// CallID is the id of the request that it answers.
	CallID string
	// Sealed answers carry the target's signature.
	Sealed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// OtherTarget is set if another target answered at the address.
	OtherTarget bool
}

// Dialect translates between the headers of callers and targets and the types above.
type Dialect interface {
	ReadCall(h http.Header) Call
	// WriteSend changes the copy of a caller's header to what the target gets.
	WriteSend(h http.Header, send Send)
	ReadAnswer(status int, h http.Header) Answer
	// WriteRefusal sets the time after which a refused caller should ask again.
	WriteRefusal(h http.Header, retryAfter time.Duration)
}
