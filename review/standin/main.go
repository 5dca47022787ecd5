// Command standin plays the scripted cases of the review: it starts stand-ins of the
// platform's store, of workers and of clients, and the project's own processes.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// settleTime is the time for which all machines run before the first request: more than
// contact_ms.
const settleTime = 5 * time.Second

// cases holds the scripted cases by name. A case reports whether the rule was broken.
var cases = map[string]func(d *deployment, folder string, trouble bool) (bool, error){
	"lapsed-entries": lapsedEntries,
	"large-output":   largeOutput,
	"lost-machines":  lostMachines,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 3 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER RECORD")
		return exitNotRun
	}
	broken, err := play(cases[arguments[0]], arguments[1], arguments[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// play plays a case with the configuration in a folder and writes the record.
func play(scenario func(*deployment, string, bool) (bool, error), folder, recordPath string) (bool, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // it holds only settings and logs
	d, err := newDeployment(dir, r)
	if err != nil {
		return false, err
	}
	broken, err := scenario(d, folder, os.Getenv("TROUBLE") != "0")
	d.stop()
	if closeErr := r.close(); err == nil {
		err = closeErr
	}
	return broken, err
}
