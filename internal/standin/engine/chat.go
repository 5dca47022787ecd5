package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/basilloom/basilloom/prefix"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *chatRequest) prompt() string {
	contents := make([]string, 0, len(c.Messages))
	for _, m := range c.Messages {
		contents = append(contents, m.Content)
	}
	return strings.Join(contents, "\n")
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	requestID := r.Header.Get("X-Request-Id")
	e.recordReceived(requestID)
	body, err := readBody(w, r)
	if err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	if requestID == "" || len(request.Messages) == 0 {
		writeFailure(w, badRequest("X-Request-Id and messages are required"))
		return
	}
	if !e.injectRequestFault(w, r) {
		return
	}
	s := e.newStream(requestID, r.Header.Get("X-Model-Version"), &request)
	subscriber, failed := e.submit(s)
	if failed == errCrashed {
		panic(http.ErrAbortHandler)
	}
	if failed != nil {
		writeFailure(w, failed)
		return
	}
	if request.Stream {
		e.serveStream(r, s, subscriber, newEventWriter(w, s), 0, false)
		return
	}
	e.serveCompletion(w, r, s, subscriber)
}

func (e *Engine) recordReceived(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.received[requestID]++
}

// injectRequestFault applies the faults that keep a request from running. It
// reports whether the request may run.
func (e *Engine) injectRequestFault(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	fails := e.chance(e.faults.ErrorRate)
	closes := e.chance(e.faults.CloseRate)
	hangs := e.chance(e.faults.HangRate)
	crash := e.crash
	e.mu.Unlock()
	switch {
	case fails:
		writeFailure(w, errInjected)
		return false
	case closes:
		panic(http.ErrAbortHandler)
	case hangs:
		select {
		case <-r.Context().Done():
		case <-crash:
		case <-e.closed:
		}
		panic(http.ErrAbortHandler)
	}
	return true
}

func (e *Engine) newStream(requestID, version string, request *chatRequest) *stream {
	prompt := request.prompt()
	s := &stream{
		requestID:    requestID,
		responseID:   requestID,
		model:        request.Model,
		version:      version,
		prompt:       prompt,
		blocks:       prefix.Blocks([]byte(prompt)),
		promptTokens: prefix.Tokens(len(prompt)),
		maxTokens:    request.MaxTokens,
		lengthGiven:  request.MaxTokens > 0,
	}
	if !s.lengthGiven {
		s.maxTokens = e.settings.DefaultOutputTokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.chance(e.faults.CrossRate) {
		s.responseID = e.lastRequest
		if s.responseID == "" || s.responseID == requestID {
			s.responseID = "crossed-" + requestID
		}
	}
	if e.chance(e.faults.TruncateRate) {
		s.truncateAt = max(s.maxTokens/2, 1)
	}
	e.lastRequest = requestID
	s.seed = contentSeed(s.responseID, prompt)
	return s
}

// snapshot is the state of a stream as its handler needs it.
type snapshot struct {
	state    streamState
	produced int
	attached bool // no other handler has replaced this one
}

func (e *Engine) snapshot(s *stream, subscriber chan struct{}) snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return snapshot{state: s.state, produced: s.produced, attached: s.subscriber == subscriber}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, s *stream, subscriber chan struct{}) {
	for {
		now := e.snapshot(s, subscriber)
		switch now.state {
		case stateFinished:
			e.detach(s, subscriber, true)
			e.writeCompletion(w, r, s)
			return
		case stateFailed:
			writeFailure(w, errVersionFailed)
			return
		case stateCancelled:
			writeFailure(w, errCancelled)
			return
		case stateLost:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-subscriber:
		case <-r.Context().Done():
			e.detach(s, subscriber, false)
			panic(http.ErrAbortHandler)
		}
	}
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Version string             `json:"version"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (s *stream) usage() usage {
	return usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: s.maxTokens,
		Details:          promptDetails{CachedTokens: s.cachedTokens},
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *stream) {
	e.waitWhileFrozen(r)
	content := make([]byte, 0, s.maxTokens*tokenBytes)
	for i := 1; i <= s.maxTokens; i++ {
		content = appendToken(content, s.seed, i)
	}
	response, err := json.Marshal(completion{
		ID:      s.responseID,
		Object:  "chat.completion",
		Model:   s.model,
		Version: s.version,
		Choices: []completionChoice{{
			Message:      message{Role: "assistant", Content: string(content)},
			FinishReason: s.finishReason(),
		}},
		Usage: s.usage(),
	})
	if err != nil {
		panic(err)
	}
	if s.truncateAt > 0 {
		response = response[:len(response)/2]
	}
	setStreamHeaders(w, s)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response) // the client may have disconnected
}

func setStreamHeaders(w http.ResponseWriter, s *stream) {
	w.Header().Set("X-Request-Id", s.responseID)
	w.Header().Set("X-Stream-Id", s.id)
	w.Header().Set("X-Model-Version", s.version)
}
