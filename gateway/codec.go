package gateway

import (
	"net/http"
	"time"
)

// Call holds the request parameters decoded from a caller's header.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if the header does not state it.
	Timeout time.Duration
	// Key is the caller's key; empty without one.
	Key string
	// PromptTokens and OutputTokens are the size of a generation request; 0 for others.
	PromptTokens, OutputTokens int
	// SharedParts are hashes of the parts of the prompt that other requests may share: all
	// but the last.
	SharedParts []uint64
	// ExpectedOutput is the caller's estimate of the generated tokens; 0 without one.
	ExpectedOutput int
}

// SendOptions holds the parameters that the gateway adds to a request for a target.
type SendOptions struct {
	Target string
	// Remaining is how long the target may work on the request.
	Remaining time.Duration
	// Workspace is empty for a request without one.
	Workspace string
	// LastEventID resumes a stream after the event with this id; empty otherwise.
	LastEventID string
}

// ResponseInfo holds the properties decoded from a target's response header.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if the response carries the target's signature.
	Signed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is set if another target responded at the address.
	WrongTarget bool
	// Leaving is set if the target states that it is about to stop.
	Leaving bool
	// RetryAfter is the time for which a target that turned the request away wants no
	// requests from this instance; 0 if it states none.
	RetryAfter time.Duration
	// ColdFor is the time for which the target states that it stays cold; 0 if it does not.
	ColdFor time.Duration
}

// HeaderCodec translates between HTTP headers and Call, SendOptions and ResponseInfo.
type HeaderCodec interface {
	DecodeCall(h http.Header) Call
	// EncodeSend turns a copy of the caller's header into the header for the target.
	EncodeSend(h http.Header, send SendOptions)
	DecodeResponse(status int, h http.Header) ResponseInfo
	// EncodeRefusal sets the time after which a refused caller should retry.
	EncodeRefusal(h http.Header, retryAfter time.Duration)
}
