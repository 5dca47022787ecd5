// Package explain reads the decision logs of several instances and explains the
// outcome of a single request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// ErrNotFound means that no log line contains the request id.
var ErrNotFound = errors.New("no log line names the request")

// stateChangeWindow is how far before a request's start the state changes of its
// instance are included.
const stateChangeWindow = 10 * time.Second

// timeoutSlackMs is how many milliseconds before its timeout a caller may appear to
// disconnect: the caller's clock starts before the request reaches the instance.
const timeoutSlackMs = 100.0

// maxLineBytes is the longest accepted log line.
const maxLineBytes = 1 << 20

// Line is one line of a decision log.
type Line struct {
	Time       time.Time `json:"ts"`
	Level      string    `json:"level"`
	Message    string    `json:"msg"`
	Instance   string    `json:"instance"`
	RequestID  string    `json:"request_id,omitempty"`
	Status     int       `json:"status,omitempty"`
	Sends      int       `json:"sends,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	RetryCause string    `json:"after,omitempty"`
	Target     string    `json:"target,omitempty"`
	Workspace  string    `json:"workspace,omitempty"`
	Route      string    `json:"route,omitempty"`
	Config     int64     `json:"config,omitempty"`
	Group      string    `json:"group,omitempty"`
	// Service, Version and Phase describe a step of a version order. Other lines have a
	// number as version.
	Service string `json:"service,omitempty"`
	Version any    `json:"version,omitempty"`
	Phase   string `json:"phase,omitempty"`
	// Cause is the reason for the ejection of a target.
	Cause string `json:"cause,omitempty"`
	// Timeout, Elapsed, Queued and First are in milliseconds. Timeout is the
	// caller's timeout, 0 if the request has none.
	Timeout  float64 `json:"patience,omitempty"`
	Elapsed  float64 `json:"elapsed,omitempty"`
	Queued   float64 `json:"queued,omitempty"`
	First    float64 `json:"first,omitempty"`
	Complete bool    `json:"complete,omitempty"`
	// Cost is the charge of the request to its workspace's quota, Bucket the level
	// of the quota's bucket, and Share the fraction of the quotas in force on the
	// instance.
	Cost   float64 `json:"cost,omitempty"`
	Bucket float64 `json:"bucket,omitempty"`
	Share  float64 `json:"share,omitempty"`
}

// Explanation is the outcome of a request according to the logs.
type Explanation struct {
	RequestID string `json:"request_id"`
	// Cause is a sentence with the cause of the request's end.
	Cause string `json:"cause"`
	// Lines are the request's log lines by time.
	Lines []Line `json:"lines"`
	// StateChanges are the log lines without a request id on the instance that
	// logged the request first, from shortly before its start until its end.
	StateChanges []Line `json:"beliefs"`
}

// Read returns the lines of a log. It skips lines without JSON, and text before a
// line's JSON such as the time and machine that a log collector adds.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(scanner.Bytes()[start:], &line); err == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// Request explains one request from the log lines of all instances.
func Request(id string, lines []Line) (Explanation, error) {
	e := Explanation{RequestID: id}
	for _, l := range lines {
		if l.RequestID == id {
			e.Lines = append(e.Lines, l)
		}
	}
	if len(e.Lines) == 0 {
		return e, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(e.Lines, byTime)
	first, last := e.Lines[0], e.Lines[len(e.Lines)-1]
	start := first.Time.Add(-time.Duration(first.Elapsed * float64(time.Millisecond)))
	for _, l := range lines {
		inWindow := l.Time.After(start.Add(-stateChangeWindow)) && !l.Time.After(last.Time)
		if l.RequestID == "" && l.Instance == first.Instance && inWindow {
			e.StateChanges = append(e.StateChanges, l)
		}
	}
	slices.SortStableFunc(e.StateChanges, byTime)
	e.Cause = cause(e.Lines, last)
	return e, nil
}

// cause returns a sentence with the cause of a request's end.
func cause(lines []Line, last Line) string {
	if last.Message != "ended" {
		return fmt.Sprintf("the instance %s ended or its log was cut after %q", last.Instance, last.Message)
	}
	took := fmt.Sprintf("after %.0f ms, %.0f ms of them waiting for a slot", last.Elapsed, last.Queued)
	switch {
	case last.Status < 300 && last.Complete:
		return fmt.Sprintf("served by %s %s; first event or answer after %.0f ms%s", last.Target, took, last.First, resendCauses(lines))
	case last.Status < 300:
		return fmt.Sprintf("the answer of %s broke off %s: %s%s", last.Target, took, last.Reason, resendCauses(lines))
	case last.Status == 429:
		return fmt.Sprintf("refused: workspace %s had used up its quota (configuration %d): the request takes %.0f, the bucket was at %.0f with %.0f%% of the quota in force on %s",
			last.Workspace, last.Config, last.Cost, last.Bucket, 100*last.Share, last.Instance)
	case last.Status == 401 || last.Status == 404:
		return fmt.Sprintf("rejected by configuration %d of %s: %s", last.Config, last.Instance, last.Reason)
	case last.Status == 503 && last.Sends == 0:
		return fmt.Sprintf("refused as not run %s: %s", took, last.Reason)
	case last.Status == 499 && last.Timeout > 0 && last.Elapsed >= last.Timeout-timeoutSlackMs:
		return fmt.Sprintf("the caller's time of %.0f ms was over %s, with %d sends, the last to %s; first event or answer after %.0f ms",
			last.Timeout, took, last.Sends, last.Target, last.First)
	case last.Status == 499:
		return fmt.Sprintf("the caller left %s, with %d sends", took, last.Sends)
	case last.Reason == "":
		return fmt.Sprintf("target %s answered %d %s%s", last.Target, last.Status, took, resendCauses(lines))
	default:
		return fmt.Sprintf("ended with %d at target %s %s: %s%s", last.Status, last.Target, took, last.Reason, resendCauses(lines))
	}
}

// resendCauses lists the target and cause of each repeated send.
func resendCauses(lines []Line) string {
	text := ""
	for _, l := range lines {
		if l.Message == "sent again" {
			text += fmt.Sprintf("; sent again after target %s: %s", l.Target, l.RetryCause)
		}
	}
	return text
}
