package main

import (
	"fmt"
	"strings"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

type moveCmd struct {
	List   moveListCmd   `cmd:"" help:"List all moves."`
	Status moveStatusCmd `cmd:"" help:"Show one move."`
	Watch  moveWatchCmd  `cmd:"" help:"Print each change of a move until it ends."`
	Cancel moveCancelCmd `cmd:"" help:"Roll a move back."`
}

type moveListCmd struct{}

// Run prints one line for each move.
func (c *moveListCmd) Run(e *env) error {
	response, err := call(e, e.client.ListMoves, &basilloomv1.ListMovesRequest{})
	if err != nil {
		return err
	}
	if e.json {
		return e.printMessage(response)
	}
	return e.printTable(moveRows(response.Moves))
}

type moveStatusCmd struct {
	Name string `arg:"" help:"Name of the move."`
}

// Run prints one move.
func (c *moveStatusCmd) Run(e *env) error {
	response, err := call(e, e.client.GetMove, &basilloomv1.GetMoveRequest{Name: c.Name})
	if err != nil {
		return err
	}
	return e.printMove(response.Move)
}

type moveCancelCmd struct {
	Name     string `arg:"" help:"Name of the move."`
	Operator string `help:"Name recorded with the cancellation." env:"BASILLOOM_OPERATOR,USER" default:"unknown"`
}

// Run requests the rollback of the move and prints its state.
func (c *moveCancelCmd) Run(e *env) error {
	response, err := call(e, e.client.CancelMove, &basilloomv1.CancelMoveRequest{Name: c.Name, Operator: c.Operator})
	if err != nil {
		return err
	}
	return e.printMove(response.Move)
}

func (e *env) printMove(status *basilloomv1.MoveStatus) error {
	if e.json {
		return e.printMessage(status)
	}
	return e.printTable(moveRows([]*basilloomv1.MoveStatus{status}))
}

func moveRows(moves []*basilloomv1.MoveStatus) [][]string {
	rows := [][]string{{"MOVE", "ROUTE", "FROM", "TO", "PHASE", "SHARE", "DEADLINE", "LATE", "REASON"}}
	for _, m := range moves {
		rows = append(rows, []string{
			m.GetMove().GetName(),
			m.GetMove().GetRoute(),
			m.GetMove().GetFrom(),
			m.GetMove().GetTo(),
			phaseName(m),
			fmt.Sprintf("%g%%", m.GetRow().GetSharePercent()),
			formatTime(m.GetMove().GetDeadline()),
			fmt.Sprint(m.GetRow().GetLate()),
			m.GetRow().GetReason(),
		})
	}
	return rows
}

// phaseName returns the name of a move's phase in lower-case words. A move without a
// row is pending.
func phaseName(m *basilloomv1.MoveStatus) string {
	phase := m.GetRow().GetPhase()
	if phase == basilloomv1.MovePhase_MOVE_PHASE_UNSPECIFIED {
		phase = basilloomv1.MovePhase_MOVE_PHASE_PENDING
	}
	name := strings.TrimPrefix(phase.String(), "MOVE_PHASE_")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}
