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
	// exitConflict: another operator's configuration was applied first.
	exitConflict
	// exitUnreachable: the server did not respond; an apply may have taken effect.
	exitUnreachable
	// exitTakenBack: the watched move was rolled back (phase "taken back").
	exitTakenBack
	// exitLate: the watched move missed its deadline or was still running at --timeout.
	exitLate
)

const exitCodeHelp = "Exit codes: 0 success, 1 other failure, 2 usage, 3 invalid configuration, " +
	"4 conflict with another operator, 5 server unreachable, 6 move taken back, 7 move late or still running at --timeout."

// Errors that move watch returns for moves that did not succeed in time.
var (
	errTakenBack = errors.New("the move was taken back")
	errLate      = errors.New("the move was completed after its deadline")
	errTimeout   = errors.New("the move is still running at --timeout")
)

// Errors that config check returns; it uses the first three exit codes only.
var (
	errFindings   = errors.New("the configuration has findings")
	errUnreadable = errors.New("the configuration cannot be read")
)

// exitCode maps an error to the exit code. Servers report an invalid configuration
// as invalid_argument and a conflict with another operator as aborted.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errTakenBack):
		return exitTakenBack
	case errors.Is(err, errLate), errors.Is(err, errTimeout):
		return exitLate
	case errors.Is(err, errFindings):
		return exitFailure
	case errors.Is(err, errUnreadable):
		return exitUsage
	case errors.As(err, new(config.Errors)):
		return exitInvalid
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitInvalid
	case connect.CodeNotFound:
		return exitUsage
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnreachable
	default:
		return exitFailure
	}
}
