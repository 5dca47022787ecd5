package engine

import (
	"time"

	"github.com/basilloom/basilloom/prefix"
)

// maxCatchUp limits the delay that later steps make up for. Catching up keeps the
// simulated speed on a busy machine; the limit prevents a burst after a long pause.
const maxCatchUp = 50 * time.Millisecond

// run executes batch steps until the engine is closed.
func (e *Engine) run() {
	defer close(e.stopped)
	next := time.Now()
	for {
		frozen := e.freezeRemaining()
		if frozen > 0 {
			if !e.sleep(frozen) {
				return
			}
			next = time.Now()
			continue
		}
		duration, poisoned := e.planStep()
		if poisoned {
			e.Crash()
			continue
		}
		if duration == 0 {
			select {
			case <-e.wake:
			case <-e.closed:
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(duration)
		if earliest := time.Now().Add(-maxCatchUp); next.Before(earliest) {
			next = earliest
		}
		if !e.sleep(time.Until(next)) || !e.sleep(e.freezeRemaining()) {
			return
		}
		e.finishStep()
	}
}

// sleep waits for d. It reports false if the engine was closed.
func (e *Engine) sleep(d time.Duration) bool {
	if d <= 0 {
		select {
		case <-e.closed:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.closed:
		return false
	}
}

func (e *Engine) wakeStepper() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// planStep admits waiting requests and assigns prefill and decode work to the next
// step. It returns the duration of the step, which is 0 if there is no work.
// poisoned is set if an admitted request crashes the engine.
func (e *Engine) planStep() (duration time.Duration, poisoned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 {
		oldest := e.waiting[0]
		if !e.admit(oldest) {
			break
		}
		if e.poisoned(oldest) {
			return 0, true
		}
	}
	if len(e.running) == 0 {
		return 0, false
	}
	chunk := e.settings.PrefillChunkTokens
	prefill, decoding := 0, 0
	for _, s := range e.running {
		s.chunk = min(s.prefillRemaining, chunk)
		s.decode = s.prefillRemaining == 0
		chunk -= s.chunk
		prefill += s.chunk
		if s.decode {
			decoding++
		}
	}
	seconds := e.stepSeconds(prefill, decoding) * e.slowFactor() / e.settings.TimeScale
	return time.Duration(seconds * float64(time.Second)), false
}

// stepSeconds returns the duration of a step that processes prefill prompt tokens
// and generates one token for each decoding stream. The two times add up, so that
// a long prompt delays the tokens of other streams, as with chunked prefill.
func (e *Engine) stepSeconds(prefill, decoding int) float64 {
	seconds := float64(prefill) / e.settings.PrefillTokensPerSecond
	if decoding > 0 {
		slowdown := 1 + e.settings.BatchSlowdown*float64(decoding-1)
		seconds += slowdown / e.settings.DecodeTokensPerSecond
	}
	return seconds
}

// admit moves the oldest waiting request into the batch if there is room.
func (e *Engine) admit(s *stream) bool {
	if len(e.running) >= e.settings.BatchLimit {
		return false
	}
	hits := e.cache.match(s.blocks)
	need := s.memoryBlocks() - hits
	e.cache.pin(s.blocks[:hits])
	if !e.makeRoom(need) {
		e.cache.unpin(s.blocks[:hits])
		return false
	}
	e.waiting = e.waiting[1:]
	e.running = append(e.running, s)
	s.state = stateRunning
	s.pinned = s.blocks[:hits]
	s.private = need
	e.private += need
	s.cachedTokens = hits * prefix.BlockTokens
	e.records.cachedTokens += int64(s.cachedTokens)
	// The last prompt token is always computed because its result is needed for the
	// first output token.
	s.prefillRemaining = max(s.promptTokens-s.cachedTokens, 1)
	if e.versionFails(s) {
		e.end(s, stateFailed)
		delete(e.streams, s.id)
		return true
	}
	s.notify()
	return true
}

// makeRoom evicts cached blocks until need blocks are free.
func (e *Engine) makeRoom(need int) bool {
	missing := e.private + e.cache.len() + need - e.settings.CacheBlocks
	if missing <= 0 {
		return true
	}
	if missing > e.cache.evictable() {
		return false
	}
	e.addEvent(eventRemoved, e.cache.evict(missing))
	return true
}

// finishStep applies the planned step.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := len(e.running)
	for _, s := range append([]*stream(nil), e.running...) {
		progress := e.progress(s, batch)
		if progress == 0 {
			continue
		}
		if s.chunk > 0 {
			e.finishPrefillChunk(s)
		}
		if s.prefillRemaining == 0 && (s.decode || s.chunk > 0) {
			e.generate(s)
		}
		s.chunk, s.decode = 0, false
	}
	e.sampleLoad()
}

// progress returns 1 if a stream advances in this step and 0 if not. A stream of a
// version that is slowed by the factor n advances in one of n steps on average.
func (e *Engine) progress(s *stream, batch int) int {
	slow := e.versionSlowFactor(s, batch)
	if slow <= 1 {
		return 1
	}
	s.credit += 1 / slow
	if s.credit < 1 {
		return 0
	}
	s.credit--
	return 1
}

func (e *Engine) finishPrefillChunk(s *stream) {
	s.prefillRemaining -= s.chunk
	s.prefillDone += s.chunk
	e.records.prefillTokens += int64(s.chunk)
	if s.prefillRemaining > 0 {
		return
	}
	fresh := len(s.blocks) - len(s.pinned)
	added := e.cache.insert(s.blocks)
	// Pinning the whole chain again also updates its least-recently-used order.
	e.cache.unpin(s.pinned)
	e.cache.pin(s.blocks)
	s.pinned = s.blocks
	s.private -= fresh
	e.private -= fresh
	e.addEvent(eventStored, added)
}

func (e *Engine) generate(s *stream) {
	s.produced++
	e.records.generatedTokens++
	if s.produced < s.maxTokens {
		s.notify()
		return
	}
	e.end(s, stateFinished)
	if s.subscriber == nil {
		s.expires.Reset(e.settings.StreamRetention)
	}
}
