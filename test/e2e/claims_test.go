package e2e

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keyRuns returns how often the service ran calls with the key.
func keyRuns(t *testing.T, s *standin, key string) int {
	t.Helper()
	var stats struct {
		RunsForKey map[string]int `json:"runs_for_key"`
	}
	getJSON(t, s.url("/stats"), &stats)
	return stats.RunsForKey[key]
}

func (i *instance) dispatch(key, body string) call {
	return i.service(http.MethodPost, "/orders/dispatch", body, map[string]string{"Idempotency-Key": key})
}

// Guards against a call that runs twice: calls with the same key through any
// instance, concurrent or later, run at most once and get the stored response
// or a refusal with the true reason.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	service := startStandin(t, "service", "--delay=100ms")
	f := startFleet(t, 3)
	f.apply(t, baseConfig(nil, []*standin{service}))
	f.waitReady(t)

	responses := make([]response, 2*len(f.instances))
	var wg sync.WaitGroup
	for n := range responses {
		wg.Go(func() { responses[n] = f.instances[n%len(f.instances)].dispatch("box-1", "{}").perform() })
	}
	wg.Wait()
	served := 0
	for _, r := range responses {
		switch r.outcome() {
		case "served":
			served++
		case "unknown":
			require.Equal(t, "in_progress", r.Header.Get("Basilloom-Reason"))
		default:
			require.Fail(t, "unexpected outcome", "%+v", r)
		}
	}
	require.Positive(t, served)
	require.Equal(t, 1, keyRuns(t, service, "box-1"))

	later := f.instances[2].dispatch("box-1", "{}").perform()
	require.Equal(t, "served", later.outcome())
	require.Equal(t, "stored", later.Header.Get("Basilloom-Reason"))
	other := f.instances[0].dispatch("box-1", `{"other":true}`).perform()
	require.Equal(t, "idempotency_key_reused", other.Header.Get("Basilloom-Reason"))
	require.Equal(t, 1, keyRuns(t, service, "box-1"))
}

// Guards against a second run after the entry is killed during the call.
func TestKilledEntryLeavesClaimUnknown(t *testing.T) {
	service := startStandin(t, "service", "--delay=700ms")
	f := startFleet(t, 2)
	config := baseConfig(nil, []*standin{service})
	config["65-timeout.yaml"] = "routes:\n- {name: dispatch, path_prefix: /orders/dispatch, pool: orders, tier: top, " +
		"non_idempotent: true, response_timeout: 1s}\n"
	f.apply(t, config)
	f.waitReady(t)
	done := make(chan response, 1)
	go func() { done <- f.instances[1].dispatch("box-2", "{}").perform() }()
	require.Eventually(t, func() bool {
		var stats struct{ Received map[string]int }
		getJSON(t, service.url("/stats"), &stats)
		return len(stats.Received) == 1
	}, 5*time.Second, 5*time.Millisecond)
	f.instances[1].signal(t, syscall.SIGKILL)
	require.NotEmpty(t, (<-done).Error)

	first := f.instances[0].dispatch("box-2", "{}").perform()
	require.Equal(t, "unknown", first.outcome(), first.Body)
	time.Sleep(1200 * time.Millisecond)
	second := f.instances[0].dispatch("box-2", "{}").perform()
	require.Equal(t, "result_unknown", second.Header.Get("Basilloom-Reason"), second.Body)
	require.Equal(t, 1, keyRuns(t, service, "box-2"))
}

// Guards against a call that runs without a claim while the store is unavailable,
// and against a second run when responses of the store are lost.
func TestClaimsUnderStoreFaults(t *testing.T) {
	service := startStandin(t, "service")
	f := startFleet(t, 2)
	f.apply(t, baseConfig(nil, []*standin{service}))
	f.waitReady(t)

	f.table.setFaults(t, `{"outage": true}`)
	refused := f.instances[0].dispatch("box-3", "{}").perform()
	require.Equal(t, "not-run", refused.outcome(), refused.Body)
	require.Equal(t, "store_unavailable", refused.Header.Get("Basilloom-Reason"))
	require.Zero(t, keyRuns(t, service, "box-3"))

	f.table.setFaults(t, `{"lose_next": 1}`)
	first := f.instances[0].dispatch("box-3", "{}").perform()
	require.Equal(t, "served", first.outcome(), first.Body)
	second := f.instances[1].dispatch("box-3", "{}").perform()
	require.Equal(t, "stored", second.Header.Get("Basilloom-Reason"), second.Body)
	require.Equal(t, 1, keyRuns(t, service, "box-3"))
}
