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
	Timeout  time.Duration `help:"End with exit code 7 if the move is still running then; 0 waits without limit." default:"0s"`
	Interval time.Duration `help:"Time between two questions to the server." default:"1s"`
	Patience time.Duration `help:"End with exit code 5 if the server has not answered for this long." default:"30s"`
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
	var last *basilloomv1.MoveStatus
	answered := time.Now()
	for {
		response, err := call(e, e.client.GetMove, &basilloomv1.GetMoveRequest{Name: c.Name})
		switch {
		case err == nil:
			answered = time.Now()
			if err := c.printChange(e, last, response.Move); err != nil {
				return err
			}
			last = response.Move
			if ended, result := moveResult(last); ended {
				return result
			}
		case !noAnswer(err) || time.Since(answered) >= c.Patience:
			return err
		}
		if err := e.sleep(c.Interval); err != nil {
			return err
		}
	}
}

// moveResult reports whether the move has ended, and how.
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

func (c *moveWatchCmd) printChange(e *env, last, now *basilloomv1.MoveStatus) error {
	if last != nil && proto.Equal(visible(last), visible(now)) {
		return nil
	}
	if e.json {
		return e.printMessage(now)
	}
	row := now.GetRow()
	line := fmt.Sprintf("%s  %s  %s  step %d  %g%%", formatTime(row.GetPhaseSince()), c.Name, phaseName(now), row.GetStep(), row.GetSharePercent())
	if row.GetLate() {
		line += "  late"
	}
	if now.GetStoppedLocally() {
		line += "  stopped at this instance"
	}
	if row.GetReason() != "" {
		line += "  " + row.GetReason()
	}
	_, err := fmt.Fprintln(e.stdout, line)
	return err
}

// visible leaves out what changes with each write of the row, such as its nonce.
func visible(m *basilloomv1.MoveStatus) *basilloomv1.MoveStatus {
	row := m.GetRow()
	return &basilloomv1.MoveStatus{StoppedLocally: m.GetStoppedLocally(), Row: &basilloomv1.MoveRow{
		Phase: row.GetPhase(), Step: row.GetStep(), SharePercent: row.GetSharePercent(), Late: row.GetLate()}}
}
