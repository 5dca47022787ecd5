package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Faults are the injected faults of an engine. They stay in effect until they are
// replaced. Rates are probabilities.
type Faults struct {
	// SlowFactor multiplies the duration of every step; values below 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// ErrorRate rejects requests with status 500 without running them.
	ErrorRate float64 `json:"error_rate"`
	// HangRate accepts requests but never responds.
	HangRate float64 `json:"hang_rate"`
	// CloseRate closes the connection after reading the request, without running it.
	CloseRate float64 `json:"close_rate"`
	// TruncateRate ends responses at half their length, without an end marker but
	// without breaking the connection.
	TruncateRate float64 `json:"truncate_rate"`
	// CrossRate responds with the id and content of another request.
	CrossRate float64 `json:"cross_rate"`
	// PoisonMarker crashes the engine when a prompt containing it enters the batch.
	PoisonMarker string `json:"poison_marker"`
	// BadVersions are versions that fail or are slow.
	BadVersions []BadVersion `json:"bad_versions"`
}

// BadVersion describes how a version misbehaves, and under which conditions. All
// given conditions must be met.
type BadVersion struct {
	Version string `json:"version"`
	// FailRate is the probability that a request fails with status 500 when it
	// enters the batch.
	FailRate float64 `json:"fail_rate"`
	// SlowFactor multiplies the time to the first token and between tokens.
	SlowFactor float64 `json:"slow_factor"`
	// AfterMillis is the time from setting the fault until it takes effect.
	AfterMillis int64 `json:"after_ms"`
	// MinBatch is the number of running streams at which the fault takes effect.
	MinBatch int `json:"min_batch"`
	// Marker limits the fault to prompts that contain the text.
	Marker string `json:"marker"`
	// Model limits the fault to requests for one model.
	Model string `json:"model"`
}

// FaultCommand is the body of POST /fault. Absent fields keep their values; Clear
// resets all faults first.
type FaultCommand struct {
	Clear        bool  `json:"clear,omitempty"`
	Crash        bool  `json:"crash,omitempty"`
	Restart      bool  `json:"restart,omitempty"`
	FreezeMillis int64 `json:"freeze_ms,omitempty"`
	Faults
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.faultsSince = time.Now()
}

// Freeze stops batch steps and responses for the duration d.
func (e *Engine) Freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
	e.wakeStepper()
}

// Crash discards all streams and the cache, aborts all connections, and aborts new
// connections until Restart. Connections are reset before the handlers are
// notified, so that no client sees a normal end of its response.
func (e *Engine) Crash() {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.records.crashes++
	e.mu.Unlock()
	if e.settings.OnCrash != nil {
		e.settings.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropStreams()
	e.orders.cancelVersionLoads()
	close(e.crash)
}

// Restart brings a crashed engine back into service. Versions stay loaded; streams
// and cache are lost, and the event sequence continues.
func (e *Engine) Restart() error {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if !e.isCrashed() {
		return nil
	}
	e.mu.Lock()
	e.crashed = false
	e.reset()
	e.addEvent(eventCleared, nil)
	e.mu.Unlock()
	if e.settings.OnRestart != nil {
		return e.settings.OnRestart()
	}
	return nil
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeFailure(w, &failure{http.StatusMethodNotAllowed, "method_not_allowed", "use POST"})
		return
	}
	var command FaultCommand
	if err := e.mergeFaults(w, r, &command); err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	e.SetFaults(command.Faults)
	if command.FreezeMillis > 0 {
		e.Freeze(time.Duration(command.FreezeMillis) * time.Millisecond)
	}
	if command.Restart {
		if err := e.Restart(); err != nil {
			writeFailure(w, &failure{http.StatusInternalServerError, "restart_failed", err.Error()})
			return
		}
	}
	if command.Crash {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, command.Faults)
}

// mergeFaults decodes the command on top of the active faults.
func (e *Engine) mergeFaults(w http.ResponseWriter, r *http.Request, command *FaultCommand) error {
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, command); err != nil {
		return err
	}
	if command.Clear {
		return nil
	}
	e.mu.Lock()
	*command = FaultCommand{Faults: e.faults}
	e.mu.Unlock()
	command.BadVersions = slices.Clone(command.BadVersions)
	return json.Unmarshal(body, command)
}

// chance reports true with probability rate. The caller holds the mutex.
func (e *Engine) chance(rate float64) bool {
	return rate > 0 && e.rng.Float64() < rate
}

func (e *Engine) slowFactor() float64 {
	return max(e.faults.SlowFactor, 1)
}

func (e *Engine) freezeRemaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.frozenUntil)
}

func (e *Engine) waitWhileFrozen(r *http.Request) {
	for {
		frozen := e.freezeRemaining()
		if frozen <= 0 {
			return
		}
		select {
		case <-time.After(frozen):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// poisoned reports whether an admitted request crashes the engine.
func (e *Engine) poisoned(s *stream) bool {
	marker := e.faults.PoisonMarker
	return marker != "" && strings.Contains(s.prompt, marker)
}

func (e *Engine) versionFails(s *stream) bool {
	for _, bad := range e.faults.BadVersions {
		if e.badVersionApplies(bad, s, len(e.running)) && e.chance(bad.FailRate) {
			return true
		}
	}
	return false
}

func (e *Engine) versionSlowFactor(s *stream, batch int) float64 {
	slow := 1.0
	for _, bad := range e.faults.BadVersions {
		if bad.SlowFactor > slow && e.badVersionApplies(bad, s, batch) {
			slow = bad.SlowFactor
		}
	}
	return slow
}

func (e *Engine) badVersionApplies(bad BadVersion, s *stream, batch int) bool {
	after := time.Duration(bad.AfterMillis) * time.Millisecond
	return bad.Version == s.version &&
		batch >= bad.MinBatch &&
		time.Since(e.faultsSince) >= after &&
		(bad.Model == "" || bad.Model == s.model) &&
		strings.Contains(s.prompt, bad.Marker)
}
