package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutNoticed is the time after which a cut link costs no more requests: the
// suspicion of the other side's instances and three missed reports of its targets.
const cutNoticed = 5 * time.Second

// regions is a deployment in two regions that reach each other over one link.
// Each region has two instances and one engine.
type regions struct {
	*fleet
	link    *standin
	engines map[string]*standin
}

var regionNames = []string{"west", "east"}

func startRegions(t *testing.T) *regions {
	t.Helper()
	r := &regions{
		fleet: &fleet{
			table:   startStandin(t, "table"),
			objects: startStandin(t, "objects"),
			list:    startStandin(t, "instances", "--lag=200ms"),
		},
		engines: make(map[string]*standin),
	}
	args := []string{"--side-a=" + sideAddress(1, 0) + "/24", "--side-b=" + sideAddress(2, 0) + "/24"}
	flags := map[string]string{"west": "--backward", "east": "--forward"}
	ports := make(map[string]string)
	var order []string
	for side, region := range regionNames {
		r.engines[region] = startStandin(t, "engine")
		for n := range 2 {
			name := fmt.Sprintf("%s-%d", region, n+1)
			ports[name] = freePort(t, sideAddress(side+1, n+1))
			order = append(order, name)
			args = append(args, flags[region]+"=127.0.0.1:0="+ports[name])
		}
		order = append(order, region)
		args = append(args, flags[region]+"=127.0.0.1:0="+r.engines[region].address)
	}
	forwards := r.startLink(t, args)
	// The link prints the forwards first and then the backwards.
	sorted := append(append([]string(nil), order[3:]...), order[:3]...)
	addresses := make(map[string]string)
	for n, name := range sorted {
		addresses[name] = forwards[n]
	}
	for _, name := range order {
		region, _, isInstance := strings.Cut(name, "-")
		if !isInstance {
			continue
		}
		source, _, err := net.SplitHostPort(ports[name])
		require.NoError(t, err)
		i := r.startIn(t, name, region, "--source="+source, "--peers="+ports[name], "--advertise="+addresses[name])
		i.advertise = addresses[name]
	}
	r.publishList(t)
	r.apply(t, regionConfig(addresses))
	return r
}

func (r *regions) startLink(t *testing.T, args []string) []string {
	t.Helper()
	cmd := exec.Command(filepath.Join(programs, "standin"), append([]string{"link"}, args...)...)
	p, lines := startProcess(t, "link", cmd, (*exec.Cmd).StdoutPipe)
	var ready struct {
		Address  string
		Forwards []string
	}
	select {
	case line := <-lines:
		require.NoError(t, json.Unmarshal([]byte(line), &ready))
	case <-time.After(startTimeout):
		require.FailNow(t, "link not ready")
	}
	r.link = &standin{process: p, address: ready.Address}
	return ready.Forwards
}

// sideAddress returns the loopback address of an instance of a side; number 0
// is the side's network. Runs of the tests at the same time differ in it.
func sideAddress(side, number int) string {
	const first, count = 16, 200
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%count, side, number)
}

// freePort returns an address of the host that stays free until an instance
// listens at it. The host is that instance's own: at 127.0.0.1, other listeners
// and outgoing connections may get the port in the meantime.
func freePort(t *testing.T, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against an instance that cannot listen at the address that the link
// forwards to, because the system gave its port away after it was chosen.
func TestFreePortStaysFree(t *testing.T) {
	t.Parallel()
	address := freePort(t, sideAddress(3, 1))
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	// If this fails, the port is already in use there, which serves as well.
	if other, err := net.Listen("tcp", "127.0.0.1:"+port); err == nil {
		defer func() { _ = other.Close() }()
	}
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}

func regionConfig(addresses map[string]string) map[string]string {
	files := baseConfig(nil, nil)
	files["10-regions.yaml"] = "regions:\n- {name: west, zones: [west-a]}\n- {name: east, zones: [east-a]}\n" +
		"links:\n- {name: paid, from_region: west, to_region: east, one_way_delay: 0.012s, bits_per_second: 30000000}\n"
	var targets strings.Builder
	targets.WriteString("targets:\n")
	for _, region := range regionNames {
		fmt.Fprintf(&targets, "- {name: engine-%s, pool: models, region: %s, zone: %s-a, address: %q, versions: [v1], "+
			"concurrency: 4, prefill_tokens_per_second: 8000, decode_tokens_per_second: 60}\n",
			region, region, region, "http://"+addresses[region])
	}
	files["50-targets.yaml"] = targets.String()
	return files
}

// Guards against a cut between regions that stops a side, dispatches a request
// twice, sheds a higher tier while a lower one is served on the same side, or
// leaves the sides apart after the heal.
func TestRegionCut(t *testing.T) {
	t.Parallel()
	r := startRegions(t)
	r.settle(t)
	engines := []*standin{r.engines["west"], r.engines["east"]}
	var across load
	before := len(received(t, engines[0]))
	for _, i := range r.instances {
		across.add(i, "plans", 60, true)
	}
	waitReceived(t, before+1, engines[0])
	r.link.fault(t, `{"cut": "black_hole"}`)
	begun := time.Now()

	// What comes at once may be granted a target that cannot be reached.
	var apart time.Duration
	for time.Since(begun) < cutNoticed {
		if apart == 0 && len(r.brokers(modelsGroup)) == 2 {
			apart = time.Since(begun)
		}
		across.add(r.instances[across.made%len(r.instances)], "plans", 10, true)
		time.Sleep(10 * pollInterval)
	}
	require.NotZero(t, apart, "each side needs a broker of its own")
	var inside load
	beforeWest, beforeEast := len(received(t, engines[0])), len(received(t, engines[1]))
	for range 5 {
		for _, i := range r.instances {
			inside.add(i, "plans", 10, true)
			inside.add(i, "tags", 10, false)
		}
	}
	for _, p := range inside.wait() {
		p.requireWhole(t)
	}
	require.Len(t, received(t, engines[0]), beforeWest+20, "the west serves from its own engine")
	require.Len(t, received(t, engines[1]), beforeEast+20, "the east serves from its own engine")

	r.link.fault(t, `{"cut": ""}`)
	healed := time.Now()
	require.Eventually(t, func() bool { return len(r.brokers(modelsGroup)) == 1 }, 2*startTimeout, pollInterval,
		"the sides did not find each other")
	together := time.Since(healed)
	counts := make(map[string]int)
	for _, p := range across.wait() {
		counts[p.outcome()+" "+p.Header.Get("Basilloom-Reason")]++
		if p.outcome() == "served" && p.Error == "" {
			p.requireWhole(t)
		}
		require.NotEqual(t, "queue_full", p.Header.Get("Basilloom-Reason"))
	}
	requireOnce(t, append(across.done, inside.done...), engines...)
	t.Logf("own broker on each side after %v, one broker %v after the heal, %d calls in the cut served, calls around its start: %v",
		apart, together, len(inside.done), counts)
}
