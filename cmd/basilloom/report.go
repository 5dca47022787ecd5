package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/basilloom/basilloom/internal/explain"
)

// reportCmd counts outcomes and reasons by second from the logs of instances.
type reportCmd struct {
	HTML  string   `name:"html" help:"Also write an HTML page with plots to this file." placeholder:"FILE"`
	Files []string `arg:"" type:"existingfile" help:"Logs of the instances."`
}

// Run implements the command.
func (c *reportCmd) Run(e *env) error {
	lines, err := readLogs(c.Files)
	if err != nil {
		return err
	}
	report := explain.Summarize(lines)
	if report.Total == 0 {
		return errors.New("the logs contain no completed request")
	}
	if c.HTML != "" {
		if err := writePage(c.HTML, report); err != nil {
			return err
		}
	}
	if e.json {
		return json.NewEncoder(e.stdout).Encode(report)
	}
	if err := e.printTable(secondRows(report)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(e.stdout); err != nil {
		return err
	}
	if err := e.printTable(reasonRows(report)); err != nil || len(report.VersionOrders) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(e.stdout); err != nil {
		return err
	}
	return e.printTable(versionOrderRows(report))
}

func versionOrderRows(report explain.Report) [][]string {
	rows := [][]string{{"TIME", "SERVICE", "VERSION", "INSTANCE", "STEP", "REASON"}}
	for _, l := range report.VersionOrders {
		step := l.Phase
		if step == "" {
			step = strings.TrimPrefix(l.Message, "version order ")
		}
		rows = append(rows, []string{l.Time.Format("15:04:05.000"), l.Service, fmt.Sprint(l.Version), l.Instance, step, l.Reason})
	}
	return rows
}

func secondRows(report explain.Report) [][]string {
	head := []string{"TIME"}
	for _, o := range explain.Outcomes {
		head = append(head, string(o))
	}
	rows := [][]string{append(head, "FIRST 50% MS", "FIRST 95% MS", "CHANGES")}
	for _, s := range report.Seconds {
		row := []string{s.Time.Format("15:04:05")}
		for _, o := range explain.Outcomes {
			row = append(row, strconv.Itoa(s.Ended[o]))
		}
		rows = append(rows, append(row, fmt.Sprintf("%.0f", s.First50), fmt.Sprintf("%.0f", s.First95), strconv.Itoa(len(s.Changes))))
	}
	return rows
}

func reasonRows(report explain.Report) [][]string {
	rows := [][]string{{"OUTCOME", "STATUS", "REASON", "REQUESTS"}}
	for _, r := range report.Reasons {
		rows = append(rows, []string{string(r.Outcome), strconv.Itoa(r.Status), r.Reason, strconv.Itoa(r.Count)})
	}
	return rows
}

func writePage(name string, report explain.Report) (err error) {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return report.WritePage(file)
}
