// Package service simulates a plain HTTP service. It counts how often each call
// ran, so that tests can detect a call that ran twice.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilloom/basilloom/internal/standin/httpserver"
)

const maxBodyBytes = 16 << 20

// Faults are the injected faults of a service. They stay in effect until they are
// replaced. Rates are probabilities.
type Faults struct {
	// DelayMillis is the time that a call takes.
	DelayMillis int64 `json:"delay_ms"`
	// ErrorRate responds with status 500 without running the call.
	ErrorRate float64 `json:"error_rate"`
	// HangRate reads the call but neither runs it nor responds.
	HangRate float64 `json:"hang_rate"`
	// CloseBeforeRate closes the connection without running the call.
	CloseBeforeRate float64 `json:"close_before_rate"`
	// CloseAfterRate runs the call and closes the connection without a response.
	CloseAfterRate float64 `json:"close_after_rate"`
	// TruncateRate runs the call and closes the connection in the middle of the
	// response.
	TruncateRate float64 `json:"truncate_rate"`
	// PoisonMarker crashes the service when a request body contains it.
	PoisonMarker string `json:"poison_marker"`
}

// FaultCommand is the body of POST /fault. Absent fields keep their values; Clear
// resets all faults first.
type FaultCommand struct {
	Clear bool `json:"clear,omitempty"`
	Crash bool `json:"crash,omitempty"`
	// CloseIdle closes the connections without a current call.
	CloseIdle    bool  `json:"close_idle,omitempty"`
	FreezeMillis int64 `json:"freeze_ms,omitempty"`
	Faults
}

// Stats counts calls by X-Request-Id and by Idempotency-Key. Received counts the
// calls whose headers arrived, the others those that ran.
type Stats struct {
	Received   map[string]int `json:"received"`
	Runs       map[string]int `json:"runs"`
	RunsForKey map[string]int `json:"runs_for_key"`
	Crashes    int            `json:"crashes"`
}

// Response is the body of a response. It echoes the call, so that a caller can
// check that the response belongs to its request.
type Response struct {
	RequestID      string      `json:"request_id"`
	IdempotencyKey string      `json:"idempotency_key"`
	Method         string      `json:"method"`
	URI            string      `json:"uri"`
	Headers        http.Header `json:"headers"`
	BodyHash       string      `json:"body_hash"`
	// Run is the number of runs of this request id, including this one.
	Run int `json:"run"`
}

// Settings configures a Service.
type Settings struct {
	Faults Faults
	// Seed seeds the random choices, so that they are reproducible.
	Seed uint64
	// OnCrash is called at a crash. If it is nil, a crash closes the listener and
	// resets all connections.
	OnCrash func()
}

// Service is a running simulated service.
type Service struct {
	server  *httpserver.Server
	onCrash func()

	mu          sync.Mutex
	rng         *rand.Rand
	faults      Faults
	frozenUntil time.Time
	crashed     bool
	stats       Stats
}

// Listen starts a service at a TCP address, which may have port 0.
func Listen(address string, settings Settings) (*Service, error) {
	s := &Service{
		onCrash: settings.OnCrash,
		rng:     rand.New(rand.NewPCG(settings.Seed, 0)),
		faults:  settings.Faults,
		stats: Stats{
			Received:   make(map[string]int),
			Runs:       make(map[string]int),
			RunsForKey: make(map[string]int),
		},
	}
	if s.onCrash == nil {
		s.onCrash = func() { s.server.Abort() }
	}
	s.server = httpserver.New(address, s)
	if err := s.server.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the listening address with the actual port.
func (s *Service) Address() string {
	return s.server.Address()
}

// Close stops the service and resets its connections.
func (s *Service) Close() {
	s.server.Abort()
}

// Stats returns a copy of the counts. A crash does not reset them.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Received:   maps.Clone(s.stats.Received),
		Runs:       maps.Clone(s.stats.Runs),
		RunsForKey: maps.Clone(s.stats.RunsForKey),
		Crashes:    s.stats.Crashes,
	}
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Freeze delays responses until d has passed.
func (s *Service) Freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenUntil = time.Now().Add(d)
}

// CloseIdle closes the connections without a current call and returns their number.
func (s *Service) CloseIdle() int {
	return s.server.CloseIdle()
}

// Crash resets all connections and refuses new ones until Restart.
func (s *Service) Crash() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	s.stats.Crashes++
	s.mu.Unlock()
	s.onCrash()
}

// Restart starts listening again after a crash.
func (s *Service) Restart() error {
	s.mu.Lock()
	s.crashed = false
	s.mu.Unlock()
	return s.server.Start()
}

// ServeHTTP serves calls of any method and path, GET /stats and POST /fault.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats":
		writeJSON(w, http.StatusOK, s.Stats())
	case "/fault":
		s.handleFault(w, r)
	default:
		s.handleCall(w, r)
	}
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	s.updateStats(func(stats *Stats) { stats.Received[r.Header.Get("X-Request-Id")]++ })
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.drawFaults()
	// A call runs even if its client disconnects during the pause, because a service
	// that has read a call does not notice the closed connection.
	time.Sleep(faults.pause)
	switch {
	case faults.poison != "" && strings.Contains(string(body), faults.poison):
		s.Crash()
		panic(http.ErrAbortHandler)
	case faults.fail:
		http.Error(w, "injected error", http.StatusInternalServerError)
		return
	case faults.hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.closeBefore:
		panic(http.ErrAbortHandler)
	}
	response, err := json.Marshal(s.run(r, body))
	if err != nil {
		panic(err) // strings always marshal
	}
	if faults.closeAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(response)))
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if faults.truncate {
		response = response[:len(response)/2]
	}
	_, _ = w.Write(response) // the client may have disconnected
}

func (s *Service) run(r *http.Request, body []byte) Response {
	id := r.Header.Get("X-Request-Id")
	key := r.Header.Get("Idempotency-Key")
	response := Response{
		RequestID:      id,
		IdempotencyKey: key,
		Method:         r.Method,
		URI:            r.RequestURI,
		Headers:        r.Header,
		BodyHash:       fmt.Sprintf("%016x", xxhash.Sum64(body)),
	}
	s.updateStats(func(stats *Stats) {
		stats.Runs[id]++
		response.Run = stats.Runs[id]
		if key != "" {
			stats.RunsForKey[key]++
		}
	})
	return response
}

func (s *Service) updateStats(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// drawnFaults are the faults selected at random for one call.
type drawnFaults struct {
	pause                                                  time.Duration
	crashed, fail, hang, closeBefore, closeAfter, truncate bool
	poison                                                 string
}

func (s *Service) drawFaults() drawnFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	chance := func(rate float64) bool { return rate > 0 && s.rng.Float64() < rate }
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	return drawnFaults{
		crashed:     s.crashed,
		pause:       delay + max(0, time.Until(s.frozenUntil)),
		fail:        chance(s.faults.ErrorRate),
		hang:        chance(s.faults.HangRate),
		closeBefore: chance(s.faults.CloseBeforeRate),
		closeAfter:  chance(s.faults.CloseAfterRate),
		truncate:    chance(s.faults.TruncateRate),
		poison:      s.faults.PoisonMarker,
	}
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	command := FaultCommand{Faults: s.faults}
	s.mu.Unlock()
	if err := decodeCommand(body, &command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(command.Faults)
	if command.FreezeMillis > 0 {
		s.Freeze(time.Duration(command.FreezeMillis) * time.Millisecond)
	}
	if command.CloseIdle {
		s.CloseIdle()
	}
	if command.Crash {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, command.Faults)
}

// decodeCommand decodes body on top of the faults in command. If the body sets
// Clear, it is decoded into an empty command.
func decodeCommand(body []byte, command *FaultCommand) error {
	if err := json.Unmarshal(body, command); err != nil {
		return err
	}
	if !command.Clear {
		return nil
	}
	*command = FaultCommand{}
	return json.Unmarshal(body, command)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
