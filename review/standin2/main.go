// Command standin2 plays one script case of the second review: it runs stand-ins of the
// store, the workers and the clients, starts instances of basilloomd as separate processes,
// and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is the longest time that a case may take.
const maxDuration = 110 * time.Second

// scenario plays a case. It returns whether the rule was broken, and an error if the case
// could not run.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"crashing-request":  playCrashingRequest,
	"crash-and-restart": playCrashAndRestart,
	"loss-and-restart":  playRecover,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption %t", name, trouble)
	f, err := newFleet(record)
	if err == nil {
		defer f.stop()
		var broken bool
		if broken, err = runBounded(run, f, trouble); err == nil {
			return verdict(record, broken)
		}
	}
	record.printf("the case could not run: %v", err)
	return exitNotRun
}

var (
	errTooLong  = errors.New("the case takes too long")
	errSignal   = errors.New("the case was interrupted")
	errNotReady = errors.New("an instance did not become ready")
)

// runBounded runs a scenario until it ends, maxDuration has passed or a signal arrives.
func runBounded(run scenario, f *fleet, trouble bool) (bool, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(f, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return r.broken, r.err
	case <-signals:
		return false, errSignal
	case <-time.After(maxDuration):
		return false, errTooLong
	}
}

func verdict(record *record, broken bool) int {
	if broken {
		record.print("the rule was broken")
		return exitBroken
	}
	record.print("the rule held")
	return exitHeld
}
