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
	stateLost // the engine crashed
)

// stream is one accepted request. The engine's mutex guards its fields.
type stream struct {
	id        string
	requestID string
	answerID  string // differs from requestID in a crossed answer
	model     string
	version   string
	prompt    string
	seed      uint64
	blocks    []uint64

	promptTokens int
	cachedTokens int
	maxTokens    int
	lengthGiven  bool
	truncateAt   int // answer ends without end marker after this many tokens; 0: whole

	state       streamState
	prefillLeft int
	prefillDone int
	produced    int
	credit      float64 // progress towards the next token of a slowed version
	chunk       int     // prompt tokens of the planned step
	decode      bool    // the planned step generates a token
	pinned      []uint64
	private     int // memory blocks outside the cache

	reader  chan struct{} // wakes the connected handler; closed when another takes over
	expires *time.Timer
}

// notify wakes the connected handler.
func (s *stream) notify() {
	if s.reader == nil {
		return
	}
	select {
	case s.reader <- struct{}{}:
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

// memoryBlocks is the memory that the stream needs when nothing is cached.
func (s *stream) memoryBlocks() int {
	return (s.promptTokens + s.maxTokens + prefix.BlockTokens - 1) / prefix.BlockTokens
}

// submit queues a request. The caller is connected to the returned stream.
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
	s.reader = make(chan struct{}, 1)
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	e.records.run(s)
	e.sampleLoad()
	e.wakeStepper()
	return s.reader, nil
}

// attach connects a handler to the stream and disconnects an earlier one.
func (e *Engine) attach(s *stream) chan struct{} {
	if s.reader != nil {
		close(s.reader)
	}
	if s.expires != nil {
		s.expires.Stop()
	}
	s.reader = make(chan struct{}, 1)
	return s.reader
}

// detach is called when a client disconnects. A stream whose headers were sent
// stays resumable; another is withdrawn, as its client never learnt its id.
func (e *Engine) detach(s *stream, reader chan struct{}, resumable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reader != reader {
		return
	}
	s.reader = nil
	if !resumable {
		e.cancel(s)
		return
	}
	e.expireLater(s)
}

func (e *Engine) expireLater(s *stream) {
	s.expires = time.AfterFunc(e.settings.StreamRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.reader == nil {
			e.cancel(s)
		}
	})
}

// cancel ends a stream and forgets its id. Work already done counts as wasted
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
