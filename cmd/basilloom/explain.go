package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/basilloom/basilloom/internal/explain"
)

// explainCmd reports the outcome of a request from the logs of instances.
type explainCmd struct {
	RequestID string   `arg:"" help:"Id of the request, as the caller sent it."`
	Files     []string `arg:"" type:"existingfile" help:"Logs of the instances."`
}

// Run implements the command.
func (c *explainCmd) Run(e *env) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	explanation, err := explain.Request(c.RequestID, lines)
	if err != nil {
		return err
	}
	if e.json {
		return json.NewEncoder(e.stdout).Encode(explanation)
	}
	_, _ = fmt.Fprintf(e.stdout, "request %s: %s\n", explanation.RequestID, explanation.Cause)
	for _, l := range explanation.Lines {
		_, _ = fmt.Fprintf(e.stdout, "  %s %s %s target=%s status=%d %s%s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Message,
			l.Target, l.Status, l.Reason, l.RetryCause)
	}
	for _, l := range explanation.StateChanges {
		_, _ = fmt.Fprintf(e.stdout, "  before: %s %s %s %s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Message, l.Target)
	}
	return nil
}

func readLogs(names []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range names {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(name string) (lines []explain.Line, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return explain.Read(file)
}
