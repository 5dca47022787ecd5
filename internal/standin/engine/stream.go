package engine

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/prefix"
)

type streamState int

const (
	stateWaiting streamState = iota
	stateRunning
	stateFinished
	stateFailed
	stateCancelled
	stateLost // the engine crashed or was closed
)

// stream is one accepted request. The engine's mutex guards its fields.
type stream struct {
	id         string
	requestID  string
	responseID string // differs from requestID if the response is that of another request
	model      string
	version    string
	prompt     string
	seed       uint64
	blocks     []uint64

	promptTokens int
	cachedTokens int
	maxTokens    int
	lengthGiven  bool
	truncateAt   int // the response ends without end marker after this many tokens; 0: it is complete

	state            streamState
	prefillRemaining int
	prefillDone      int
	produced         int
	credit           float64 // completed fraction of the next step of a slowed version
	chunk            int     // prompt tokens of the planned step
	decode           bool    // the planned step generates a token
	pinned           []uint64
	private          int // memory blocks that are not in the cache

	subscriber chan struct{} // wakes the connected handler; closed when another handler replaces it
	expires    *time.Timer
}

// notify wakes the connected handler.
func (s *stream) notify() {
	if s.subscriber == nil {
		return
	}
	select {
	case s.subscriber <- struct{}{}:
	default:
	}
}

func (s *stream) live() bool {
	return s.state == stateWaiting || s.state == stateRunning
}

func (s *stream) finishReason() string {
	if s.lengthGiven {
		return "length"
	}
	return "stop"
}

// memoryBlocks returns the number of blocks that the stream needs if none is cached.
func (s *stream) memoryBlocks() int {
	return (s.promptTokens + s.maxTokens + prefix.BlockTokens - 1) / prefix.BlockTokens
}

// submit queues a request and returns the channel that wakes the caller, which is
// the stream's connected handler.
func (e *Engine) submit(s *stream) (chan struct{}, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, errCrashed
	}
	if s.version == "" && len(e.versions) > 0 {
		s.version = e.versions[0]
	}
	if !e.hasVersion(s.version) {
		return nil, errVersion
	}
	if s.memoryBlocks() > e.settings.CacheBlocks {
		return nil, errTooLong
	}
	e.nextStream++
	s.id = fmt.Sprintf("%x-%x", e.started.UnixNano(), e.nextStream)
	s.subscriber = make(chan struct{}, 1)
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	e.records.countRun(s)
	e.sampleLoad()
	e.wakeStepper()
	return s.subscriber, nil
}

// attach connects a handler to the stream and disconnects the previous one.
func (e *Engine) attach(s *stream) chan struct{} {
	if s.subscriber != nil {
		close(s.subscriber)
	}
	if s.expires != nil {
		s.expires.Stop()
	}
	s.subscriber = make(chan struct{}, 1)
	return s.subscriber
}

// detach disconnects a handler from its stream. A resumable stream is retained for
// StreamRetention. A stream whose response headers were not sent is not resumable
// and is cancelled, because its client has not received its id.
func (e *Engine) detach(s *stream, subscriber chan struct{}, resumable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.subscriber != subscriber {
		return
	}
	s.subscriber = nil
	if !resumable {
		e.cancel(s)
		return
	}
	e.scheduleExpiry(s)
}

func (e *Engine) scheduleExpiry(s *stream) {
	s.expires = time.AfterFunc(e.settings.StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.subscriber == nil {
			e.cancel(s)
		}
	})
}

// cancel ends a stream and removes its id. Work already done counts as wasted
// unless the stream had finished.
func (e *Engine) cancel(s *stream) {
	delete(e.streams, s.id)
	if !s.live() {
		return
	}
	e.records.wastedPrefill += int64(s.prefillDone)
	e.records.wastedDecode += int64(s.produced)
	e.end(s, stateCancelled)
	e.sampleLoad()
	e.wakeStepper()
}

// end moves a live stream to a final state and releases its memory.
func (e *Engine) end(s *stream, state streamState) {
	if s.state == stateWaiting {
		e.waiting = remove(e.waiting, s)
	} else {
		e.running = remove(e.running, s)
	}
	s.state = state
	s.prompt = ""
	e.cache.unpin(s.pinned)
	e.private -= s.private
	s.blocks, s.pinned, s.private = nil, nil, 0
	s.notify()
}

func remove(streams []*stream, s *stream) []*stream {
	for i, candidate := range streams {
		if candidate == s {
			return append(streams[:i], streams[i+1:]...)
		}
	}
	return streams
}
