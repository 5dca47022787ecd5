package instance

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/internal/standin/worker"
	"github.com/basilloom/basilloom/platform"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of TestSoak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of TestSoak")
	soakTime  = flag.Duration("soak.time", 10*time.Second, "time of each seed of TestSoak")
)

const (
	soakInstances = 3
	soakWorkers   = 4
	soakCallers   = 6
	// faultShare is the share of the requests that a worker treats with a fault.
	faultShare = 0.08
)

// soak is a fleet with random operations and faults in series that overlap.
type soak struct {
	env *testEnv
	rng *rand.Rand // used by the goroutine of the operations only

	mu      sync.Mutex
	nodes   []*node
	workers []*worker.Worker
	calls   []soakCall
	// sends lists the workers and their behaviours by the id of the request.
	sends   map[string][]string
	names   int
	revoked bool
}

// soakCall is a caller's request and what became of it.
type soakCall struct {
	id, path, key, body string
	response            callerResponse
	err                 error // no response
}

var soakPaths = []string{"/safe/1", "/unsafe/1", "/stream/1", "/resumable/1"}

// Guards against requests that run twice, run after a refusal, get a wrong or cut response
// that looks complete, are rejected although they are allowed, or are not served any more,
// while signals, crashes, configurations and faults overlap.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{env: newTestEnv(t), rng: rand.New(rand.NewPCG(seed, 1)), sends: make(map[string][]string)}
	s.env.engine = seed%2 == 0
	for range soakWorkers {
		s.startWorker()
	}
	s.configure()
	for range soakInstances {
		s.startNode()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for k := range soakCallers {
		callers.Go(func() { s.sendRequests(ctx, rand.New(rand.NewPCG(seed, uint64(k)+2))) })
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.operate(t)
		time.Sleep(time.Duration(50+s.rng.IntN(500)) * time.Millisecond)
	}
	s.env.store.SetFaults(platformstore.Faults{})
	time.Sleep(contactTime)
	cancel()
	callers.Wait()
	s.checkCalls(t)
	s.checkFleet(t)
}

func (s *soak) name(prefix string) string {
	s.names++
	return fmt.Sprintf("%s%d", prefix, s.names)
}

// startWorker registers a worker that treats some requests with faults.
func (s *soak) startWorker() {
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
	name := s.name("w")
	choose := func(r *http.Request) worker.Behaviour {
		stream := strings.HasPrefix(r.URL.Path, "/stream") || strings.HasPrefix(r.URL.Path, "/resumable")
		if rng.Float64() < faultShare {
			faults := []worker.Behaviour{
				worker.Fail, worker.Full, worker.LoseResponse, worker.CutResponse, worker.Unknown503, worker.RepeatRefusal,
				worker.RepeatAnonymousRefusal, worker.CutStatusLine, worker.CutHeader, worker.CutHead, worker.Unsigned, worker.OtherInstance,
			}
			if stream {
				faults = append(faults, worker.StreamCut, worker.UnframedStream, worker.UnframedStreamCut, worker.UnframedStreamHead, worker.SlowStream)
			}
			return faults[rng.IntN(len(faults))]
		}
		if stream {
			return worker.Stream
		}
		return worker.Serve
	}
	w := s.env.worker(name, func(_ int, r *http.Request) worker.Behaviour {
		b := choose(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		id := r.Header.Get("Request-Id")
		s.sends[id] = append(s.sends[id], fmt.Sprint(name, " behaviour ", b))
		return b
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
}

func (s *soak) startNode() {
	n := s.env.start(s.name("i"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
}

// takeNode removes a random instance from those that get new requests.
func (s *soak) takeNode() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.rng.IntN(len(s.nodes))
	n := s.nodes[k]
	s.nodes = append(s.nodes[:k:k], s.nodes[k+1:]...)
	return n
}

// configure writes a configuration with or without the second key.
func (s *soak) configure() {
	s.revoked = !s.revoked
	keys := []string{testKey}
	if !s.revoked {
		keys = append(keys, "key-2")
	}
	s.env.configure(testRoutes(), keys, 0)
}

// operate makes one random change.
func (s *soak) operate(t *testing.T) {
	operations := []struct {
		name string
		run  func()
	}{
		{"store refuses", func() { s.env.store.SetFaults(platformstore.Faults{Refuse: http.StatusServiceUnavailable}) }},
		{"store loses responses", func() { s.env.store.SetFaults(platformstore.Faults{LoseResponses: true}) }},
		{"store is slow", func() { s.env.store.SetFaults(platformstore.Faults{Delay: 200 * time.Millisecond}) }},
		{"store works", func() { s.env.store.SetFaults(platformstore.Faults{}) }},
		{"history is dropped", s.env.store.Compact},
		{"configuration", s.configure},
		{"configuration", s.configure},
		{"settings", func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.nodes[s.rng.IntN(len(s.nodes))].reload <- syscall.SIGHUP
		}},
		{"instance is replaced", func() {
			s.env.store.SetFaults(platformstore.Faults{}) // an instance needs the store or a peer to start
			s.startNode()
			s.takeNode().stop()
		}},
		{"instance crashes", func() {
			s.env.store.SetFaults(platformstore.Faults{})
			s.takeNode().kill()
			s.startNode()
		}},
		{"worker drains", func() {
			s.startWorker()
			w := s.takeWorker()
			s.env.register(w, "draining")
		}},
		{"worker crashes", func() {
			s.startWorker()
			w := s.takeWorker()
			w.Reset()
			s.env.store.Delete(platform.TableTargets, w.ID)
		}},
	}
	o := operations[s.rng.IntN(len(operations))]
	t.Log(time.Now().Format("05.000"), o.name)
	o.run()
}

// takeWorker returns the oldest registered worker. It is kept for the check of its runs.
func (s *soak) takeWorker() *worker.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[len(s.workers)-1-soakWorkers]
}

// sendRequests sends requests on kept connections until ctx ends.
func (s *soak) sendRequests(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s.mu.Lock()
		var n *node
		if len(s.nodes) > 0 {
			n = s.nodes[rng.IntN(len(s.nodes))]
		}
		s.mu.Unlock()
		if n == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := soakCall{id: fmt.Sprintf("soak-%d", requestNumber.Add(1)), path: soakPaths[rng.IntN(len(soakPaths))], key: testKey, body: "x"}
		if rng.IntN(5) == 0 {
			c.key = "key-2"
		}
		if rng.IntN(2) == 0 {
			c.body = c.id // others are alike
		}
		c.response, c.err = send(client, n, c)
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

// send sends a request that the client does not repeat.
func send(client *http.Client, n *node, c soakCall) (callerResponse, error) {
	body := io.NopCloser(strings.NewReader(c.body)) // net/http cannot send it a second time
	request, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Load().Callers+c.path, body)
	if err != nil {
		return callerResponse{}, err
	}
	request.Host, request.ContentLength = testHost, int64(len(c.body))
	for name, value := range map[string]string{
		"Request-Id": c.id, "Deadline-Ms": "3000", "Authorization": "Token " + c.key, "Token-Counts": "10,10", "Prompt-Prefix": "a:5,b:5",
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return callerResponse{}, err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the body has been read
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}, nil
}

// checkCalls compares what the callers got with what the workers ran.
func (s *soak) checkCalls(t *testing.T) {
	runs := make(map[string]int)
	for _, w := range s.workers {
		for _, r := range w.Runs() {
			if r.Executed {
				runs[r.ID]++
			}
			require.Empty(t, r.Key, "a key that reached a worker")
			require.Equal(t, "acme", r.Workspace)
		}
	}
	statuses := make(map[int]int)
	for _, c := range s.calls {
		statuses[c.response.status]++
		repeatable := strings.HasPrefix(c.path, "/safe") || strings.HasPrefix(c.path, "/resumable")
		if !repeatable {
			require.LessOrEqual(t, runs[c.id], 1, "%v ran twice: %v", c, s.sends[c.id])
		}
		switch {
		case c.err != nil:
		case c.response.status == http.StatusOK:
			require.NotEmpty(t, c.response.header.Get("Response-Seal"))
			require.Equal(t, c.id, c.response.header.Get("Request-Id"))
			s.checkBody(t, c)
		case c.response.status == http.StatusServiceUnavailable:
			require.True(t, repeatable || runs[c.id] == 0, "%v was refused and ran: %v", c, s.sends[c.id])
		case c.response.status == http.StatusUnauthorized:
			require.Equal(t, "key-2", c.key, "%v is allowed", c)
		default:
			require.Contains(t, []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}, c.response.status)
		}
	}
	t.Log("responses by status, 0 for none: ", statuses)
	require.Greater(t, float64(statuses[http.StatusOK]), 0.6*float64(len(s.calls)))
}

func (s *soak) checkBody(t *testing.T, c soakCall) {
	switch {
	case strings.HasPrefix(c.response.header.Get("Content-Type"), "text/event-stream"):
		requireStream(t, c.response, c.response.err == nil)
	case c.response.err == nil:
		require.Equal(t, "POST "+c.path+" "+c.body, c.response.body)
	}
}

// checkFleet checks that all instances serve by the last configuration.
func (s *soak) checkFleet(t *testing.T) {
	status := map[bool]int{true: http.StatusUnauthorized, false: http.StatusOK}[s.revoked]
	for _, n := range s.nodes {
		served := false
		for range 20 {
			got := n.call(t, http.MethodPost, "/safe/1", "x", map[string]string{"Authorization": "Token key-2"})
			served = served || got.status == status
			require.True(t, got.status == status || status == http.StatusOK && got.status >= 500, "status %d", got.status)
		}
		require.True(t, served)
	}
}
