package instance

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/crashrows"
	"github.com/basilloom/basilloom/internal/standin/platformstore"
)

// faultyPath is the way to a store on which each step of a start meets a fault once: calls are
// slow, the crash evidence cannot be read, the first registration is refused, the responses to
// the first mark and to the first release are lost, and so are the calls of the feed that wait
// for these rows.
type faultyPath struct {
	store     *platformstore.Store
	delay     time.Duration
	startedAt time.Time

	mu   sync.Mutex
	seen map[string]bool
}

func (p *faultyPath) first(step string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.seen[step]
	p.seen[step] = true
	return !before
}

func (p *faultyPath) has(step string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[step]
}

func (p *faultyPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(p.delay)
	table := r.URL.Query().Get("table")
	step := stepOf(body)
	switch {
	case table == crashrows.TableName, step == "registration" && p.first(step):
		w.WriteHeader(http.StatusServiceUnavailable)
	case step == "mark" && p.first(step), step == "release" && p.first(step):
		p.store.ServeHTTP(httptest.NewRecorder(), r)
		<-r.Context().Done()
	case table == tableInstances && strings.HasSuffix(r.URL.Path, "feed") && p.isSilent():
		<-r.Context().Done()
	default:
		p.store.ServeHTTP(w, r)
	}
}

// isSilent reports whether a call of the feed that begins now is lost: one before the mark and
// one before the release.
func (p *faultyPath) isSilent() bool {
	switch {
	case !p.has("mark"):
		return p.first("feed before the mark")
	case time.Since(p.startedAt) > 6*time.Second && !p.has("release"):
		return p.first("feed before the release")
	}
	return false
}

// stepOf names what a transaction does to the rows of the instances.
func stepOf(body []byte) string {
	var tx struct{ Put []platformstore.Row }
	if json.Unmarshal(body, &tx) != nil || len(tx.Put) == 0 || tx.Put[0].Table != tableInstances {
		return ""
	}
	m := &pb.FleetMember{}
	switch err := proto.Unmarshal(tx.Put[0].Value, m); {
	case err != nil:
		return ""
	case m.GetReleased():
		return "release"
	case m.GetSilent():
		return "mark"
	}
	return "registration"
}

// Guards against waits between a start and full service that follow one another without need:
// the design's table of recovery_s, played with a fault at each of its steps.
func TestRecoveryWithAFaultAtEachStep(t *testing.T) {
	t.Parallel()
	const lost = 8
	env := newTestEnv(t)
	env.configure(testRoutes(), []string{testKey}, 1000)
	env.putLostRows(lost)
	startedAt := time.Now()
	path := &faultyPath{store: env.store, delay: 200 * time.Millisecond, startedAt: startedAt, seen: make(map[string]bool)}
	server := httptest.NewServer(path)
	t.Cleanup(server.Close)
	n := env.startAt("i1", server.URL)
	t.Logf("ready after %v", time.Since(startedAt))
	n.requireShare(t, shareWithout(lost), recoveryTime-time.Since(startedAt))
	t.Logf("share of the released parts after %v", time.Since(startedAt))
	for _, step := range []string{"registration", "mark", "release", "feed before the mark", "feed before the release"} {
		require.True(t, path.has(step), step)
	}
}
