package main

import (
	"errors"

	"connectrpc.com/connect"

	"github.com/basilloom/basilloom/config"
)

// Exit codes of the command line.
const (
	exitOK = iota
	// exitFailure: none of the other codes applies.
	exitFailure
	// exitUsage: the command line is wrong or names something that does not exist.
	exitUsage
	// exitInvalid: the configuration has faults; nothing was changed.
	exitInvalid
	// exitLostRace: another operator's configuration is in force.
	exitLostRace
	// exitUnreachable: the server did not answer; an apply may have taken effect.
	exitUnreachable
	// exitTakenBack: the watched move was taken back.
	exitTakenBack
	// exitLate: the watched move missed its deadline or was running at --timeout.
	exitLate
)

const exitCodeHelp = "Exit codes: 0 success, 1 other failure, 2 usage, 3 invalid configuration, " +
	"4 lost a race, 5 server unreachable, 6 move taken back, 7 move late or still running at --timeout."

// Results of move watch that are not success.
var (
	errTakenBack = errors.New("the move was taken back")
	errLate      = errors.New("the move was completed after its deadline")
	errTimeout   = errors.New("the move is still running at --timeout")
)

// exitCode maps an error to the exit code. Servers report faults of a
// configuration as invalid_argument and a lost race as aborted.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errTakenBack):
		return exitTakenBack
	case errors.Is(err, errLate), errors.Is(err, errTimeout):
		return exitLate
	case errors.As(err, new(config.Errors)):
		return exitInvalid
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitInvalid
	case connect.CodeNotFound:
		return exitUsage
	case connect.CodeAborted:
		return exitLostRace
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnreachable
	default:
		return exitFailure
	}
}
