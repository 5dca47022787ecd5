package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/storage"
)

// instance is a running basilloomd process.
type instance struct {
	*process
	name              string
	region            string
	advertisedAddress string
	callersAddress    string
	peersAddress      string
	operatorsAddress  string
}

// fleet is a set of instances with the stand-ins for the platform services.
type fleet struct {
	table        *standin
	objects      *standin
	instanceList *standin
	instances    []*instance
}

// sizeEnv is the environment variable that sets the number of instances in the
// failure tests, for measurements with other fleet sizes.
const sizeEnv = "BASILLOOM_E2E_INSTANCES"

func fleetSize() int {
	if size, err := strconv.Atoi(os.Getenv(sizeEnv)); err == nil && size >= 3 {
		return size
	}
	return 3
}

func startFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{
		table:        startStandin(t, "table"),
		objects:      startStandin(t, "objects"),
		instanceList: startStandin(t, "instances", "--lag=200ms"),
	}
	for i := range size {
		f.start(t, fmt.Sprintf("i%d", i+1))
	}
	f.publishInstances(t)
	return f
}

func (f *fleet) start(t *testing.T, name string) *instance {
	t.Helper()
	return f.startIn(t, name, "west")
}

// startIn starts an instance in a region with additional flags.
func (f *fleet) startIn(t *testing.T, name, region string, flags ...string) *instance {
	t.Helper()
	args := append([]string{"--instance=" + name, "--region=" + region, "--zone=" + region + "-a",
		"--callers=127.0.0.1:0", "--peers=127.0.0.1:0", "--operators=127.0.0.1:0"}, flags...)
	cmd := exec.Command(filepath.Join(binDir, "basilloomd"), args...)
	cmd.Env = append(os.Environ(),
		"BASILLOOM_PEER_KEY="+peerKey,
		"BASILLOOM_TABLE_ENDPOINT="+f.table.url(""),
		"BASILLOOM_OBJECTS_ENDPOINT="+f.objects.url(""),
		"BASILLOOM_INSTANCES_URL="+f.instanceList.url("/instances"))
	p, lines := startProcess(t, name, cmd, (*exec.Cmd).StderrPipe)
	i := &instance{process: p, name: name, region: region}
	deadline := time.After(startTimeout)
	for i.callersAddress == "" {
		select {
		case line := <-lines:
			i.readAddresses(line)
		case <-p.done:
			require.FailNow(t, "instance exited at start", name)
		case <-deadline:
			require.FailNow(t, "instance did not start", name)
		}
	}
	f.instances = append(f.instances, i)
	return i
}

func (i *instance) readAddresses(line string) {
	var started struct{ Msg, Callers, Peers, Operators string }
	if json.Unmarshal([]byte(line), &started) == nil && started.Msg == "instance started" {
		i.callersAddress, i.peersAddress, i.operatorsAddress = started.Callers, started.Peers, started.Operators
	}
}

// publishInstances writes the running instances to the platform's instance list.
func (f *fleet) publishInstances(t *testing.T) {
	t.Helper()
	var records []storage.InstanceRecord
	for _, i := range f.instances {
		select {
		case <-i.done:
			continue
		default:
		}
		address := i.peersAddress
		if i.advertisedAddress != "" {
			address = i.advertisedAddress
		}
		records = append(records, storage.InstanceRecord{Name: i.name, Address: address, Region: i.region, Zone: i.region + "-a"})
	}
	data, err := json.Marshal(records)
	require.NoError(t, err)
	send(t, http.MethodPut, f.instanceList.url("/instances"), string(data))
}

func (i *instance) ready() bool {
	resp, err := http.Get("http://" + i.operatorsAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// apply writes the files to a folder and applies it with the command line.
func (f *fleet) apply(t *testing.T, files map[string]string) {
	t.Helper()
	out, err := f.basilloom("config", "apply", writeFolder(t, files))
	require.NoError(t, err, "%s", out)
}

func writeFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	return dir
}

// basilloom runs the operators' command line against the first instance.
func (f *fleet) basilloom(args ...string) (string, error) {
	return f.instances[0].basilloom(args...)
}

// basilloom runs the operators' command line against the instance.
func (i *instance) basilloom(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "basilloom"), args...)
	cmd.Env = append(os.Environ(), "BASILLOOM_SERVER=http://"+i.operatorsAddress)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (f *fleet) waitReady(t *testing.T) {
	t.Helper()
	for _, i := range f.instances {
		require.Eventually(t, i.ready, startTimeout, 20*time.Millisecond, "instance %s", i.name)
	}
}

const callerToken = "e2e-token"

// baseConfig is a configuration with one model pool and one service pool.
func baseConfig(engines, services []*standin) map[string]string {
	sum := sha256.Sum256([]byte(callerToken))
	var targets strings.Builder
	targets.WriteString("targets:\n")
	for i, e := range engines {
		fmt.Fprintf(&targets, "- {name: engine-%d, pool: models, region: west, zone: west-a, address: %q, versions: [v1], concurrency: 8, "+
			"prefill_tokens_per_second: 8000, decode_tokens_per_second: 60, checks_fencing: true}\n", i+1, e.url(""))
	}
	for i, s := range services {
		fmt.Fprintf(&targets, "- {name: service-%d, pool: orders, region: west, zone: west-a, address: %q, concurrency: 8}\n", i+1, s.url(""))
	}
	return map[string]string{
		"10-regions.yaml": "regions:\n- {name: west, zones: [west-a]}\n",
		"20-tiers.yaml": "tiers:\n- {name: top, rank: 0, first_token_deadline: 5s, token_interval: 0.032s}\n" +
			"- {name: low, rank: 1, first_token_deadline: 10s, token_interval: 0.1s}\n",
		"30-workspaces.yaml": "workspaces:\n- {name: app, token_sha256: " + hex.EncodeToString(sum[:]) + "}\n",
		"40-pools.yaml": "pools:\n- {name: models, kind: POOL_KIND_ENGINE}\n" +
			"- {name: orders, kind: POOL_KIND_SERVICE}\n",
		"50-targets.yaml": targets.String(),
		"60-routes.yaml": "routes:\n- {name: plans, model: plans, pool: models, tier: top, version: v1}\n" +
			"- {name: tags, model: tags, pool: models, tier: low, version: v1, cancellable: true}\n" +
			"- {name: status, path_prefix: /orders/status, pool: orders, tier: low}\n" +
			"- {name: dispatch, path_prefix: /orders/dispatch, pool: orders, tier: top, non_idempotent: true}\n",
	}
}
