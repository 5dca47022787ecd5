package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/engine"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// modelsGroup is the broker group of the model pool.
const modelsGroup = "models/0"

// chatCall is one chat call of a load and its response.
type chatCall struct {
	response
	entry              *instance
	model              string
	prompt             string
	tokens             int
	stream             bool
	startedAt, endedAt time.Time
}

// load makes chat calls in the background.
type load struct {
	mu      sync.Mutex
	done    []chatCall
	wg      sync.WaitGroup
	started int
}

// add starts a chat call with a unique prompt.
func (l *load) add(i *instance, model string, tokens int, stream bool) {
	l.mu.Lock()
	l.started++
	prompt := fmt.Sprintf("question %d through %s: which toys suit a cockatoo?", l.started, i.name)
	l.mu.Unlock()
	l.addPrompt(i, model, prompt, tokens, stream)
}

func (l *load) addPrompt(i *instance, model, prompt string, tokens int, stream bool) {
	c := chatCall{entry: i, model: model, prompt: prompt, tokens: tokens, stream: stream, startedAt: time.Now()}
	l.wg.Go(func() {
		c.response = i.chat(model, prompt, tokens, stream).perform()
		c.endedAt = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.done = append(l.done, c)
	})
}

// wait returns all calls once they have ended.
func (l *load) wait() []chatCall {
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

// ended returns the number of calls that have ended.
func (l *load) ended() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done)
}

// requireComplete fails unless the call was served with its own, complete response.
func (c chatCall) requireComplete(t *testing.T) {
	t.Helper()
	require.Empty(t, c.Error, "%s at %s", c.prompt, c.entry.name)
	require.Equal(t, "served", c.outcome(), "%s at %s: %s", c.prompt, c.entry.name, c.Body)
	require.Equal(t, engine.ExpectedContent(c.requestID(), c.prompt, c.tokens), c.content(t))
}

func (c chatCall) content(t *testing.T) string {
	t.Helper()
	if c.stream {
		content, complete := streamedContent(c.Body)
		require.True(t, complete, c.Body)
		return content
	}
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal([]byte(c.Body), &body))
	return body.Choices[0].Message.Content
}

// received returns how often each request id arrived at the engines.
func received(t *testing.T, engines ...*standin) map[string]int {
	t.Helper()
	all := make(map[string]int)
	for _, e := range engines {
		var stats engine.Stats
		getJSON(t, e.url("/stats"), &stats)
		for id, n := range stats.Received {
			all[id] += n
		}
	}
	return all
}

// requireDispatchedOnce fails if a request arrived at the engines more than
// once, or arrived although its response says that it did not run.
func requireDispatchedOnce(t *testing.T, calls []chatCall, engines ...*standin) {
	t.Helper()
	all := received(t, engines...)
	for id, n := range all {
		require.Equal(t, 1, n, "request %s was dispatched more than once", id)
	}
	for _, c := range calls {
		if c.outcome() == "not-run" {
			require.Zero(t, all[c.requestID()], "request %s ran but was refused as not run", c.requestID())
		}
	}
}

// waitReceived waits until the engines have received n requests.
func waitReceived(t *testing.T, n int, engines ...*standin) {
	t.Helper()
	require.Eventually(t, func() bool { return len(received(t, engines...)) >= n }, startTimeout, pollInterval)
}

// isBroker reports whether the instance's log shows it as the broker of a group.
func (i *instance) isBroker(group string) bool {
	holds := false
	for _, line := range i.lines() {
		if !strings.Contains(line, "broker role") {
			continue
		}
		var entry struct{ Msg, Group string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Group == group {
			holds = entry.Msg == "broker role taken"
		}
	}
	return holds
}

func (i *instance) running() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// brokers returns the running instances that are broker of a group.
func (f *fleet) brokers(group string) []*instance {
	var found []*instance
	for _, i := range f.instances {
		if i.running() && i.isBroker(group) {
			found = append(found, i)
		}
	}
	return found
}

// waitConverged waits until a single broker serves the requests of all instances
// and returns the broker's instance and the others.
func (f *fleet) waitConverged(t *testing.T) (owner *instance, others []*instance) {
	t.Helper()
	f.waitReady(t)
	require.Eventually(t, func() bool {
		var l load
		for _, i := range f.instances {
			l.add(i, "plans", 1, false)
		}
		for _, c := range l.wait() {
			if c.outcome() != "served" {
				return false
			}
		}
		return len(f.brokers(modelsGroup)) == 1
	}, startTimeout, 10*pollInterval)
	owner = f.brokers(modelsGroup)[0]
	for _, i := range f.instances {
		if i != owner {
			others = append(others, i)
		}
	}
	return owner, others
}

// withConcurrency sets the concurrency of each engine to n requests.
func withConcurrency(files map[string]string, n int) map[string]string {
	files["50-targets.yaml"] = strings.ReplaceAll(files["50-targets.yaml"], "concurrency: 8", fmt.Sprintf("concurrency: %d", n))
	return files
}
