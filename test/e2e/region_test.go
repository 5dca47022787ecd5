package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitionDetectionTime is the time after which a partition no longer affects
// requests: by then the other side's instances are suspected and three load
// reports of its targets have been missed.
const partitionDetectionTime = 5 * time.Second

// regions is a deployment in two regions that are connected by one link. Each
// region has two instances and one engine.
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
			table:        startStandin(t, "table"),
			objects:      startStandin(t, "objects"),
			instanceList: startStandin(t, "instances", "--lag=200ms"),
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
	// The link prints the forward addresses first, then the backward ones.
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
		i.advertisedAddress = addresses[name]
	}
	r.publishInstances(t)
	r.apply(t, regionConfig(addresses))
	return r
}

func (r *regions) startLink(t *testing.T, args []string) []string {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "standin"), append([]string{"link"}, args...)...)
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
// is the side's network. The process id is part of the address, so concurrent
// test runs use different addresses.
func sideAddress(side, number int) string {
	const first, count = 16, 200
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%count, side, number)
}

// freePort returns an address with a free port on the host. The host must be used
// by one instance only: on 127.0.0.1, another listener or an outgoing connection
// could take the port before the instance listens on it. The fork lock prevents a process
// started by another test from holding a copy of the closed listener until its exec.
func freePort(t *testing.T, host string) string {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against an instance that cannot listen on the address that the link
// forwards to because the system assigned its port to another socket.
func TestFreePortStaysFree(t *testing.T) {
	t.Parallel()
	address := freePort(t, sideAddress(3, 1))
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	// If this fails, the port is already in use on 127.0.0.1, as the test needs.
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

// Guards against a network partition between regions that stops a side,
// dispatches a request twice, sheds a higher tier while the same side serves a
// lower one, or leaves the sides separated after it ends.
func TestRegionPartition(t *testing.T) {
	t.Parallel()
	r := startRegions(t)
	r.waitConverged(t)
	engines := []*standin{r.engines["west"], r.engines["east"]}
	var transition load
	before := len(received(t, engines[0]))
	for _, i := range r.instances {
		transition.add(i, "plans", 60, true)
	}
	waitReceived(t, before+1, engines[0])
	r.link.setFaults(t, `{"cut": "black_hole"}`)
	start := time.Now()

	// Requests right after the cut may be granted a target on the other side.
	var splitAfter time.Duration
	for time.Since(start) < partitionDetectionTime {
		if splitAfter == 0 && len(r.brokers(modelsGroup)) == 2 {
			splitAfter = time.Since(start)
		}
		transition.add(r.instances[transition.started%len(r.instances)], "plans", 10, true)
		time.Sleep(10 * pollInterval)
	}
	require.NotZero(t, splitAfter, "the sides did not elect separate brokers")
	var partitioned load
	beforeWest, beforeEast := len(received(t, engines[0])), len(received(t, engines[1]))
	for range 5 {
		for _, i := range r.instances {
			partitioned.add(i, "plans", 10, true)
			partitioned.add(i, "tags", 10, false)
		}
	}
	for _, c := range partitioned.wait() {
		c.requireComplete(t)
	}
	require.Len(t, received(t, engines[0]), beforeWest+20, "the west must serve its requests from its own engine")
	require.Len(t, received(t, engines[1]), beforeEast+20, "the east must serve its requests from its own engine")

	r.link.setFaults(t, `{"cut": ""}`)
	restoredAt := time.Now()
	require.Eventually(t, func() bool { return len(r.brokers(modelsGroup)) == 1 }, 2*startTimeout, pollInterval,
		"the sides did not return to one broker")
	mergedAfter := time.Since(restoredAt)
	counts := make(map[string]int)
	for _, c := range transition.wait() {
		counts[c.outcome()+" "+c.Header.Get("Basilloom-Reason")]++
		if c.outcome() == "served" && c.Error == "" {
			c.requireComplete(t)
		}
		require.NotEqual(t, "queue_full", c.Header.Get("Basilloom-Reason"))
	}
	requireDispatchedOnce(t, append(transition.done, partitioned.done...), engines...)
	t.Logf("separate brokers after %v, one broker %v after the link was restored, %d calls served during the partition, calls around its start: %v",
		splitAfter, mergedAfter, len(partitioned.done), counts)
}
