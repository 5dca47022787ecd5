package main

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

type moveWatchCmd struct {
	Name     string        `arg:"" help:"Name of the move."`
	Timeout  time.Duration `help:"Exit with code 7 if the move is still running after this time; 0 means no limit." default:"0s"`
	Interval time.Duration `help:"Interval between two requests to the server." default:"1s"`
	Patience time.Duration `help:"Exit with code 5 if the server has not responded for this time." default:"30s"`
}

// Run prints the state at the start and after each change of phase, step,
// share, lateness or local stop.
func (c *moveWatchCmd) Run(e *env) error {
	if c.Timeout <= 0 {
		return c.watch(e)
	}
	ctx, cancel := context.WithTimeoutCause(e.ctx, c.Timeout, errTimeout)
	defer cancel()
	limited := *e
	limited.ctx = ctx
	return c.watch(&limited)
}

func (c *moveWatchCmd) watch(e *env) error {
	var previous *basilloomv1.MoveStatus
	lastResponse := time.Now()
	for {
		response, err := call(e, e.client.GetMove, &basilloomv1.GetMoveRequest{Name: c.Name})
		switch {
		case err == nil:
			lastResponse = time.Now()
			if err := c.printChange(e, previous, response.Move); err != nil {
				return err
			}
			previous = response.Move
			if ended, result := moveResult(previous); ended {
				return result
			}
		case !isUnavailable(err) || time.Since(lastResponse) >= c.Patience:
			return err
		}
		if err := e.sleep(c.Interval); err != nil {
			return err
		}
	}
}

// moveResult reports whether the move has ended, and returns its result as an error.
func moveResult(m *basilloomv1.MoveStatus) (ended bool, result error) {
	switch m.GetRow().GetPhase() {
	case basilloomv1.MovePhase_MOVE_PHASE_DONE:
		if m.GetRow().GetLate() {
			return true, errLate
		}
		return true, nil
	case basilloomv1.MovePhase_MOVE_PHASE_TAKEN_BACK:
		return true, errTakenBack
	default:
		return false, nil
	}
}

func (c *moveWatchCmd) printChange(e *env, previous, current *basilloomv1.MoveStatus) error {
	if previous != nil && proto.Equal(printedFields(previous), printedFields(current)) {
		return nil
	}
	if e.json {
		return e.printMessage(current)
	}
	row := current.GetRow()
	line := fmt.Sprintf("%s  %s  %s  step %d  %g%%", formatTime(row.GetPhaseSince()), c.Name, phaseName(current), row.GetStep(), row.GetSharePercent())
	if row.GetLate() {
		line += "  late"
	}
	if current.GetStoppedLocally() {
		line += "  stopped at this instance"
	}
	if row.GetReason() != "" {
		line += "  " + row.GetReason()
	}
	_, err := fmt.Fprintln(e.stdout, line)
	return err
}

// printedFields returns the fields that decide whether a change is printed. It omits
// those that change with each write of the row, such as its nonce.
func printedFields(m *basilloomv1.MoveStatus) *basilloomv1.MoveStatus {
	row := m.GetRow()
	return &basilloomv1.MoveStatus{StoppedLocally: m.GetStoppedLocally(), Row: &basilloomv1.MoveRow{
		Phase: row.GetPhase(), Step: row.GetStep(), SharePercent: row.GetSharePercent(), Late: row.GetLate()}}
}
