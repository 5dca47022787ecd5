package e2e

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// propagationTimeout is the time within which an accepted configuration must be in
// force on all instances.
const propagationTimeout = 5 * time.Second

// generation returns the configuration generation in force on the instance, or 0
// if it did not respond.
func (i *instance) generation() int64 {
	url := "http://" + i.operatorsAddress + "/basilloom.v1.OperatorService/ConfigStatus"
	resp, err := http.Post(url, "application/json", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct{ Generation string }
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return 0
	}
	generation, _ := strconv.ParseInt(status.Generation, 10, 64) // the caller's check fails on 0
	return generation
}

// watchGenerations polls the instances until end is closed and returns those
// whose generation decreased.
func watchGenerations(instances []*instance, end <-chan struct{}) []string {
	highest := make(map[string]int64)
	var regressed []string
	for {
		for _, i := range instances {
			now := i.generation()
			if now < highest[i.name] {
				regressed = append(regressed, i.name)
			}
			highest[i.name] = max(highest[i.name], now)
		}
		select {
		case <-end:
			return regressed
		case <-time.After(pollInterval):
		}
	}
}

// claimedDeadline is the first-token deadline of the route's tier.
const claimedDeadline = 5 * time.Second

// Guards against these failures while the table is unavailable: model requests
// that need the table, non-idempotent calls that run without a claim or are
// refused only after their deadline, a configuration that does not propagate or
// is reverted, and an instance that cannot start.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	services := []*standin{startStandin(t, "service")}
	f := startFleet(t, fleetSize())
	files := baseConfig(engines, services)
	f.apply(t, files)
	f.waitConverged(t)

	end := make(chan struct{})
	var regressed []string
	var watching sync.WaitGroup
	watched := append([]*instance(nil), f.instances...)
	watching.Go(func() { regressed = watchGenerations(watched, end) })
	files["70-more.yaml"] = "routes:\n- {name: extra, model: extra, pool: models, tier: low, version: v1}\n"
	f.apply(t, files)
	accepted := time.Now()
	f.table.setFaults(t, `{"outage": true}`)
	f.objects.setFaults(t, `{"outage": true}`)
	for _, i := range f.instances {
		require.Eventually(t, func() bool { return i.generation() == 2 }, time.Until(accepted.Add(propagationTimeout)), pollInterval, i.name)
	}
	propagatedAfter := time.Since(accepted)

	start := time.Now()
	late := f.start(t, "late")
	f.publishInstances(t)
	require.Eventually(t, late.ready, startTimeout, pollInterval)
	require.EqualValues(t, 2, late.generation())
	readyAfter := time.Since(start)

	var l load
	for range 5 {
		for _, i := range f.instances {
			l.add(i, "plans", 5, true)
			l.add(i, "extra", 5, false)
		}
	}
	calls := l.wait()
	for _, c := range calls {
		c.requireComplete(t)
	}
	requireDispatchedOnce(t, calls, engines...)
	start = time.Now()
	refusals := make([]response, len(f.instances))
	var claimed sync.WaitGroup
	for n, i := range f.instances {
		claimed.Go(func() { refusals[n] = i.dispatch("box-"+i.name, "{}").perform() })
	}
	claimed.Wait()
	refusedAfter := time.Since(start)
	require.Less(t, refusedAfter, claimedDeadline+time.Second, "a call that needs a claim waited past its tier's deadline")
	for n, i := range f.instances {
		refused := refusals[n]
		require.Equal(t, "not-run", refused.outcome(), refused.Body)
		require.Equal(t, "store_unavailable", refused.Header.Get("Basilloom-Reason"))
		require.Zero(t, keyRuns(t, services[0], "box-"+i.name))
		read := i.service(http.MethodGet, "/orders/status/7", "", nil).perform()
		require.Equal(t, "served", read.outcome(), read.Body)
	}
	close(end)
	watching.Wait()
	require.Empty(t, regressed, "instances reverted to an older generation")
	t.Logf("generation on all instances after %v, late instance ready after %v, %d model requests served, calls that need a claim refused after %v",
		propagatedAfter, readyAfter, len(calls), refusedAfter)
}
