// Package explain reads the decision logs of several instances and tells what
// became of one request and why.
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

// ErrNotFound means that no line names the request.
var ErrNotFound = errors.New("no log line names the request")

// beliefWindow is how long before a request an instance's last changes of belief
// are shown.
const beliefWindow = 10 * time.Second

// deadlineSlack is how many milliseconds before the end of its time a caller may
// seem to leave: it counts from before the request reached the instance.
const deadlineSlack = 100.0

// maxLine bounds a line of a log.
const maxLine = 1 << 20

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
	// Cause is why a target was ejected.
	Cause string `json:"cause,omitempty"`
	// Timeout, Elapsed, Queued and First are in milliseconds. Timeout is the time
	// that the caller gave, 0 if it gave none.
	Timeout  float64 `json:"patience,omitempty"`
	Elapsed  float64 `json:"elapsed,omitempty"`
	Queued   float64 `json:"queued,omitempty"`
	First    float64 `json:"first,omitempty"`
	Complete bool    `json:"complete,omitempty"`
	// Cost is what the request takes from its workspace's quota, Bucket what the
	// quota's bucket held, and Share the part of the quotas in force on the instance.
	Cost   float64 `json:"cost,omitempty"`
	Bucket float64 `json:"bucket,omitempty"`
	Share  float64 `json:"share,omitempty"`
}

// Explanation is what the logs tell of a request.
type Explanation struct {
	RequestID string `json:"request_id"`
	// Cause names the cause of the request's end in a sentence.
	Cause string `json:"cause"`
	// Lines are those of the request, in order.
	Lines []Line `json:"lines"`
	// StateChanges are the last changes of what its instances believed before its end.
	StateChanges []Line `json:"beliefs"`
}

// Read returns the lines of a log. Text before a line's JSON, such as the time and
// the machine that a collector adds, and lines without JSON are passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
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

// Request explains one request from the lines of all instances.
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
	began := first.Time.Add(-time.Duration(first.Elapsed * float64(time.Millisecond)))
	for _, l := range lines {
		near := l.Time.After(began.Add(-beliefWindow)) && !l.Time.After(last.Time)
		if l.RequestID == "" && l.Instance == first.Instance && near {
			e.StateChanges = append(e.StateChanges, l)
		}
	}
	slices.SortStableFunc(e.StateChanges, byTime)
	e.Cause = cause(e.Lines, last)
	return e, nil
}

// cause names the cause of a request's end.
func cause(lines []Line, last Line) string {
	if last.Message != "ended" {
		return fmt.Sprintf("the instance %s ended or its log was cut after %q", last.Instance, last.Message)
	}
	took := fmt.Sprintf("after %.0f ms, %.0f ms of them waiting for a slot", last.Elapsed, last.Queued)
	switch {
	case last.Status < 300 && last.Complete:
		return fmt.Sprintf("served by %s %s; first event or answer after %.0f ms%s", last.Target, took, last.First, repeats(lines))
	case last.Status < 300:
		return fmt.Sprintf("the answer of %s broke off %s: %s%s", last.Target, took, last.Reason, repeats(lines))
	case last.Status == 429:
		return fmt.Sprintf("refused: workspace %s had used up its quota (configuration %d): the request takes %.0f, the bucket was at %.0f with %.0f%% of the quota in force on %s",
			last.Workspace, last.Config, last.Cost, last.Bucket, 100*last.Share, last.Instance)
	case last.Status == 401 || last.Status == 404:
		return fmt.Sprintf("rejected by configuration %d of %s: %s", last.Config, last.Instance, last.Reason)
	case last.Status == 503 && last.Sends == 0:
		return fmt.Sprintf("refused as not run %s: %s", took, last.Reason)
	case last.Status == 499 && last.Timeout > 0 && last.Elapsed >= last.Timeout-deadlineSlack:
		return fmt.Sprintf("the caller's time of %.0f ms was over %s, with %d sends, the last to %s; first event or answer after %.0f ms",
			last.Timeout, took, last.Sends, last.Target, last.First)
	case last.Status == 499:
		return fmt.Sprintf("the caller left %s, with %d sends", took, last.Sends)
	case last.Reason == "":
		return fmt.Sprintf("target %s answered %d %s%s", last.Target, last.Status, took, repeats(lines))
	default:
		return fmt.Sprintf("ended with %d at target %s %s: %s%s", last.Status, last.Target, took, last.Reason, repeats(lines))
	}
}

// repeats tells why the request was sent more than once.
func repeats(lines []Line) string {
	text := ""
	for _, l := range lines {
		if l.Message == "sent again" {
			text += fmt.Sprintf("; sent again after target %s: %s", l.Target, l.RetryCause)
		}
	}
	return text
}
