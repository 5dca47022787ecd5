package engine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Engine is a simulated model engine. Create it with New and stop it with Close.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	wake     chan struct{}
	closed   chan struct{}
	stopped  chan struct{}
	closing  sync.Once

	lifecycle sync.Mutex // held during a crash or restart; taken before mu

	mu          sync.Mutex
	rng         *rand.Rand
	started     time.Time
	nextStream  uint64
	streams     map[string]*stream
	waiting     []*stream
	running     []*stream
	cache       *blockCache
	private     int // memory blocks of running streams that are not in the cache
	records     records
	load        loadHistory
	events      eventLog
	orders      orderState
	versions    []string
	faults      Faults
	faultsSince time.Time
	frozenUntil time.Time
	crashed     bool
	crash       chan struct{} // closed by a crash, replaced by a restart
	lastRequest string
}

// New starts an engine.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		settings: settings,
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		stopped:  make(chan struct{}),
		rng:      rand.New(rand.NewPCG(settings.Seed, 0)),
		started:  time.Now(),
		records:  newRecords(),
		versions: slices.Clone(settings.Versions),
		orders:   newOrderState(settings),
	}
	e.reset()
	e.mux = e.routes()
	go e.run()
	return e
}

// Close stops the simulation. Connected clients are disconnected.
func (e *Engine) Close() {
	e.closing.Do(func() { close(e.closed) })
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropStreams()
	e.orders.cancelVersionLoads()
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/streams/{stream}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{stream}", e.handleCancel)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/cache_events", e.handleCacheEvents)
	mux.HandleFunc("GET /v1/state", e.handleState)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/kv/{block}", e.handleExport)
	mux.HandleFunc("PUT /v1/kv/{block}", e.handleImport)
	return mux
}

// ServeHTTP serves the engine protocol, GET /stats and POST /fault. The last two
// respond even while the engine is frozen or crashed.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats":
		writeJSON(w, http.StatusOK, e.Stats())
		return
	case "/fault":
		e.handleFault(w, r)
		return
	}
	e.waitWhileFrozen(r)
	if e.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) isCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) hasVersion(version string) bool {
	return slices.Contains(e.versions, version)
}

// reset sets the state of a newly started engine process.
func (e *Engine) reset() {
	e.streams = make(map[string]*stream)
	e.cache = newBlockCache()
	e.crash = make(chan struct{})
	e.load = loadHistory{}
	e.sampleLoad()
}

// dropStreams ends every stream without a response.
func (e *Engine) dropStreams() {
	for _, s := range e.streams {
		if s.live() {
			e.end(s, stateLost)
		}
		s.state = stateLost
		if s.expires != nil {
			s.expires.Stop()
		}
		s.notify()
	}
	clear(e.streams)
}
