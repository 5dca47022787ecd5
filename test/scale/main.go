// Command scale starts a fleet of idle instances as separate processes on one
// machine, with stand-ins for the platform services, and reports the mean CPU time
// and resident memory of an instance.
package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/daemon"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/httpserver"
	"github.com/basilloom/basilloom/internal/standin/instances"
	"github.com/basilloom/basilloom/internal/standin/objects"
	"github.com/basilloom/basilloom/internal/standin/table"
	"github.com/basilloom/basilloom/storage"
)

const (
	ticksPerSecond = 100 // USER_HZ
	readyTimeout   = 2 * time.Minute
	bytesPerKB     = 1024
)

type flags struct {
	Program   string        `required:"" help:"Path of the basilloomd program."`
	Instances int           `default:"9" help:"Number of instances."`
	Settle    time.Duration `default:"15s" help:"Time between readiness and the measurement."`
	Measure   time.Duration `default:"20s" help:"Length of the measurement."`
}

type instance struct {
	name        string
	cmd         *exec.Cmd
	peerAddress string
	readyURL    string
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("scale"))
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func run(f flags) error {
	stopServers := make([]func(), 0, 3)
	defer func() {
		for _, stop := range stopServers {
			stop()
		}
	}()
	serve := func(h http.Handler) (string, error) {
		server := httpserver.New("127.0.0.1:0", h)
		if err := server.Start(); err != nil {
			return "", err
		}
		stopServers = append(stopServers, server.Abort)
		return "http://" + strings.TrimPrefix(server.Address(), "http://"), nil
	}
	list := instances.New(0, fault.Settings{})
	settings := daemon.Settings{PlatformRegion: "local", AccessKey: "a", SecretKey: "b", TableName: "basilloom", ObjectsBucket: "basilloom"}
	var err error
	if settings.TableEndpoint, err = serve(table.New("basilloom", fault.Settings{})); err != nil {
		return err
	}
	if settings.ObjectsEndpoint, err = serve(objects.New("basilloom", fault.Settings{})); err != nil {
		return err
	}
	if settings.InstancesURL, err = serve(list); err != nil {
		return err
	}
	settings.InstancesURL += "/instances"
	p := daemon.NewPlatform(settings)
	if _, err := config.NewStore(p.Table, p.Objects, time.Now).Apply(context.Background(), minimalConfig(), "scale", "scale", 0); err != nil {
		return err
	}
	fleet, err := startAll(f, settings)
	defer killAll(fleet)
	if err != nil {
		return err
	}
	list.Set(instanceRecords(fleet))
	if err := waitReady(fleet); err != nil {
		return err
	}
	time.Sleep(f.Settle)
	return measure(f, fleet)
}

func minimalConfig() *pb.Config {
	sum := sha256.Sum256([]byte("scale"))
	return &pb.Config{
		Regions:    []*pb.Region{{Name: "west", Zones: []string{"west-a"}}},
		Workspaces: []*pb.Workspace{{Name: "app", TokenSha256: hex.EncodeToString(sum[:])}},
	}
}

func startAll(f flags, s daemon.Settings) ([]*instance, error) {
	var fleet []*instance
	for n := range f.Instances {
		i, err := start(f.Program, fmt.Sprintf("i%d", n), s)
		if err != nil {
			return fleet, err
		}
		fleet = append(fleet, i)
	}
	return fleet, nil
}

func start(program, name string, s daemon.Settings) (*instance, error) {
	cmd := exec.Command(program, "--instance="+name, "--region=west", "--zone=west-a",
		"--callers=127.0.0.1:0", "--peers=127.0.0.1:0", "--operators=127.0.0.1:0")
	cmd.Env = append(os.Environ(), "BASILLOOM_PEER_KEY=scale-shared-key-0123", "BASILLOOM_TABLE_ENDPOINT="+s.TableEndpoint,
		"BASILLOOM_OBJECTS_ENDPOINT="+s.ObjectsEndpoint, "BASILLOOM_INSTANCES_URL="+s.InstancesURL)
	pipe, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(pipe)
	for scanner.Scan() {
		var line struct{ Msg, Peers, Operators string }
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Msg == "instance started" {
			go discard(scanner)
			return &instance{name: name, cmd: cmd, peerAddress: line.Peers, readyURL: "http://" + line.Operators + "/readyz"}, nil
		}
	}
	return nil, fmt.Errorf("instance %s did not start", name)
}

func discard(s *bufio.Scanner) {
	for s.Scan() {
	}
}

func killAll(fleet []*instance) {
	for _, i := range fleet {
		_ = i.cmd.Process.Kill()
		_ = i.cmd.Wait()
	}
}

func instanceRecords(fleet []*instance) []storage.InstanceRecord {
	var all []storage.InstanceRecord
	for _, i := range fleet {
		all = append(all, storage.InstanceRecord{Name: i.name, Address: i.peerAddress, Region: "west", Zone: "west-a"})
	}
	return all
}

func waitReady(fleet []*instance) error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range fleet {
		for !isReady(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready after %v", i.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(i *instance) bool {
	resp, err := http.Get(i.readyURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// usage is the resource usage of one or more processes.
type usage struct {
	cpu   time.Duration
	rssKB int64
}

func measure(f flags, fleet []*instance) error {
	before, err := totalUsage(fleet)
	if err != nil {
		return err
	}
	measuredFrom := time.Now()
	time.Sleep(f.Measure)
	after, err := totalUsage(fleet)
	if err != nil {
		return err
	}
	elapsed := time.Since(measuredFrom)
	n := float64(len(fleet))
	fmt.Printf("instances %d  cpu %.3f%% of a core each  resident %.1f MB each\n", len(fleet),
		100*(after.cpu-before.cpu).Seconds()/elapsed.Seconds()/n, float64(after.rssKB)/n/bytesPerKB)
	return nil
}

func totalUsage(fleet []*instance) (usage, error) {
	var total usage
	for _, i := range fleet {
		u, err := processUsage(i.cmd.Process.Pid)
		if err != nil {
			return total, err
		}
		total.cpu += u.cpu
		total.rssKB += u.rssKB
	}
	return total, nil
}

// Indexes of the fields of /proc/PID/stat that follow the closing parenthesis of
// the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

func processUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	var ticks int64
	for _, n := range []int{statUserTime, statSystemTime} {
		value, err := strconv.ParseInt(fields[n], 10, 64)
		if err != nil {
			return usage{}, err
		}
		ticks += value
	}
	rssKB, err := residentKB(pid)
	return usage{cpu: time.Duration(ticks) * time.Second / ticksPerSecond, rssKB: rssKB}, err
}

func residentKB(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS line", pid)
}
