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

// spreadTime is the time in which an accepted configuration is in force everywhere.
const spreadTime = 5 * time.Second

// generation asks an instance for the generation in force; 0 means no answer.
func (i *instance) generation() int64 {
	url := "http://" + i.operators + "/basilloom.v1.OperatorService/ConfigStatus"
	resp, err := http.Post(url, "application/json", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct{ Generation string }
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return 0
	}
	generation, _ := strconv.ParseInt(status.Generation, 10, 64) // 0 is refused by the caller
	return generation
}

// watchGenerations polls the instances until end is closed and returns the
// instances whose generation stepped back.
func watchGenerations(instances []*instance, end <-chan struct{}) []string {
	highest := make(map[string]int64)
	var back []string
	for {
		for _, i := range instances {
			now := i.generation()
			if now < highest[i.name] {
				back = append(back, i.name)
			}
			highest[i.name] = max(highest[i.name], now)
		}
		select {
		case <-end:
			return back
		case <-time.After(pollInterval):
		}
	}
}

// claimedDeadline is the first-token deadline of the route's tier.
const claimedDeadline = 5 * time.Second

// Guards against model requests that need the table, non-idempotent calls that
// run without a claim or wait past their deadline to be refused, a configuration that does not spread or reverts while
// the table is down, and an instance that cannot start then.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	engines := []*standin{startStandin(t, "engine"), startStandin(t, "engine")}
	services := []*standin{startStandin(t, "service")}
	f := startFleet(t, fleetSize())
	files := baseConfig(engines, services)
	f.apply(t, files)
	f.settle(t)

	end := make(chan struct{})
	var back []string
	var watching sync.WaitGroup
	watched := append([]*instance(nil), f.instances...)
	watching.Go(func() { back = watchGenerations(watched, end) })
	files["70-more.yaml"] = "routes:\n- {name: extra, model: extra, pool: models, tier: low, version: v1}\n"
	f.apply(t, files)
	accepted := time.Now()
	f.table.fault(t, `{"outage": true}`)
	f.objects.fault(t, `{"outage": true}`)
	for _, i := range f.instances {
		require.Eventually(t, func() bool { return i.generation() == 2 }, time.Until(accepted.Add(spreadTime)), pollInterval, i.name)
	}
	spread := time.Since(accepted)

	begun := time.Now()
	late := f.start(t, "late")
	f.publishList(t)
	require.Eventually(t, late.ready, startTimeout, pollInterval)
	require.EqualValues(t, 2, late.generation())
	ready := time.Since(begun)

	var l load
	for range 5 {
		for _, i := range f.instances {
			l.add(i, "plans", 5, true)
			l.add(i, "extra", 5, false)
		}
	}
	calls := l.wait()
	for _, p := range calls {
		p.requireWhole(t)
	}
	requireOnce(t, calls, engines...)
	begun = time.Now()
	refusals := make([]answer, len(f.instances))
	var claimed sync.WaitGroup
	for n, i := range f.instances {
		claimed.Go(func() { refusals[n] = i.dispatch("box-"+i.name, "{}").perform() })
	}
	claimed.Wait()
	refusal := time.Since(begun)
	require.Less(t, refusal, claimedDeadline+time.Second, "a claimed call waits past its tier's deadline")
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
	require.Empty(t, back, "instances stepped back to an older generation")
	t.Logf("generation everywhere after %v, late instance ready after %v, %d model requests served, claimed calls refused after %v",
		spread, ready, len(calls), refusal)
}
