package main

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
)

// fakeServer responds to ApplyConfig and GetMove from scripts. The last entry of a
// script repeats.
type fakeServer struct {
	basilloomv1connect.UnimplementedOperatorServiceHandler
	applies []error
	moves   []*basilloomv1.MoveStatus
	// requests are the ApplyConfig requests received.
	requests []*basilloomv1.ApplyConfigRequest
}

func next[T any](script *[]T) T {
	first := (*script)[0]
	if len(*script) > 1 {
		*script = (*script)[1:]
	}
	return first
}

func (f *fakeServer) ConfigStatus(context.Context, *connect.Request[basilloomv1.ConfigStatusRequest]) (*connect.Response[basilloomv1.ConfigStatusResponse], error) {
	return connect.NewResponse(&basilloomv1.ConfigStatusResponse{Generation: 6, Hash: "h", Instances: []*basilloomv1.InstanceConfig{{Instance: "i1", Generation: 5}}}), nil
}

func (f *fakeServer) ApplyConfig(_ context.Context, r *connect.Request[basilloomv1.ApplyConfigRequest]) (*connect.Response[basilloomv1.ApplyConfigResponse], error) {
	f.requests = append(f.requests, r.Msg)
	if err := next(&f.applies); err != nil {
		return nil, err
	}
	return connect.NewResponse(&basilloomv1.ApplyConfigResponse{Generation: r.Msg.ExpectGeneration + 1, Hash: "h"}), nil
}

func (f *fakeServer) GetMove(context.Context, *connect.Request[basilloomv1.GetMoveRequest]) (*connect.Response[basilloomv1.GetMoveResponse], error) {
	move := next(&f.moves)
	if move == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New(`unknown move "mv"`))
	}
	return connect.NewResponse(&basilloomv1.GetMoveResponse{Move: move}), nil
}

func runCLI(t *testing.T, server *fakeServer, args ...string) (code int, stdout, stderr string) {
	_, handler := basilloomv1connect.NewOperatorServiceHandler(server)
	listener := httptest.NewServer(handler)
	defer listener.Close()
	t.Setenv("BASILLOOM_SERVER", listener.URL)
	t.Setenv("BASILLOOM_OPERATOR", "ann")
	var out, errOut bytes.Buffer
	code = run(t.Context(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

const example = "../../examples/plumage-box"

// Guards against an exit code or message that makes a script mistake a failure for
// success or for another failure.
func TestExitCodes(t *testing.T) {
	bad := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(bad, "10-a.yaml"), []byte("routes: [{name: x, teir: y}]"), 0o600))
	conflict := connect.NewError(connect.CodeAborted, errors.New(`operator "bea" applied generation 7`))
	invalid := connect.NewError(connect.CodeInvalidArgument, errors.New("bad"))
	cases := []struct {
		name           string
		server         fakeServer
		args           []string
		code           int
		stdout, stderr string
	}{
		{"help", fakeServer{}, []string{"--help"}, exitOK, "Exit codes: 0 success", ""},
		{"no command", fakeServer{}, nil, exitUsage, "", "expected one of"},
		{"no folder", fakeServer{}, []string{"config", "validate", "/none"}, exitUsage, "", "no such file"},
		{"valid", fakeServer{}, []string{"config", "validate", example}, exitOK, "valid, hash ", ""},
		{"invalid", fakeServer{}, []string{"config", "apply", bad}, exitInvalid, "", "10-a.yaml: routes[0].teir: unknown field\n"},
		{"invalid as JSON", fakeServer{}, []string{"config", "validate", bad, "--output", "json"}, exitInvalid,
			`{"faults":[{"file":"10-a.yaml","field":"routes[0].teir","reason":"unknown field"}]}`, ""},
		{"invalid for the server", fakeServer{applies: []error{invalid}}, []string{"config", "apply", example}, exitInvalid, "", "bad"},
		{"applied", fakeServer{applies: []error{nil}}, []string{"config", "apply", example}, exitOK, "accepted as generation 7, hash h", ""},
		{"conflict with another operator", fakeServer{applies: []error{conflict}}, []string{"config", "apply", example}, exitConflict, "", `operator "bea" applied generation 7`},
		{"unreachable", fakeServer{}, []string{"--server", "http://127.0.0.1:1", "targets"}, exitUnreachable, "", "refused"},
		{"status", fakeServer{}, []string{"config", "status"}, exitOK, "i1        5           -", ""},
		{"unknown move", fakeServer{moves: []*basilloomv1.MoveStatus{nil}}, []string{"move", "status", "mv"}, exitUsage, "", `unknown move "mv"`},
		{"unimplemented", fakeServer{}, []string{"move", "list"}, exitFailure, "", "not implemented"},
		{"version", fakeServer{}, []string{"version", "--output", "json"}, exitOK, `{"version":`, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCLI(t, &c.server, c.args...)
			require.Equal(t, c.code, code, stderr)
			require.Contains(t, stdout, c.stdout)
			require.Contains(t, stderr, c.stderr)
		})
	}
}

// Guards against retrying an apply without a response as a new apply, and against a
// final error that does not say how to retry it.
func TestApplyRetryKeepsApplyID(t *testing.T) {
	unavailable := connect.NewError(connect.CodeUnavailable, errors.New("server unavailable"))
	server := &fakeServer{applies: []error{unavailable, nil}}
	code, _, stderr := runCLI(t, server, "config", "apply", example)
	require.Equal(t, exitOK, code, stderr)
	require.Len(t, server.requests, 2)
	require.NotEmpty(t, server.requests[0].ApplyId)
	require.Equal(t, server.requests[0].ApplyId, server.requests[1].ApplyId)
	require.Equal(t, "ann", server.requests[0].Operator)

	server = &fakeServer{applies: []error{unavailable}}
	code, _, stderr = runCLI(t, server, "config", "apply", example, "--apply-id", "mine", "--expect", "4")
	require.Equal(t, exitUnreachable, code)
	require.Len(t, server.requests, applyAttempts)
	require.Contains(t, stderr, "--apply-id mine --expect 4")
}

func moveAt(phase basilloomv1.MovePhase, share float64, late bool) *basilloomv1.MoveStatus {
	return &basilloomv1.MoveStatus{Row: &basilloomv1.MoveRow{Phase: phase, SharePercent: share, Late: late,
		PhaseSince: timestamppb.New(time.Unix(0, 0))}}
}

// Guards against a watch that misses or repeats a change, ends before the move does,
// or exits with the code of another result.
func TestMoveWatch(t *testing.T) {
	canary := moveAt(basilloomv1.MovePhase_MOVE_PHASE_CANARY, 2, false)
	takingBack := moveAt(basilloomv1.MovePhase_MOVE_PHASE_TAKING_BACK, 0, false)
	takenBack := moveAt(basilloomv1.MovePhase_MOVE_PHASE_TAKEN_BACK, 0, false)
	rewritten := moveAt(basilloomv1.MovePhase_MOVE_PHASE_CANARY, 2, false)
	rewritten.Row.Nonce = "2"
	const at = "1970-01-01T00:00:00Z  mv  "
	cases := []struct {
		name   string
		moves  []*basilloomv1.MoveStatus
		limit  string
		code   int
		stdout string
	}{
		{"done", []*basilloomv1.MoveStatus{{}, canary, rewritten, moveAt(basilloomv1.MovePhase_MOVE_PHASE_DONE, 100, false)}, "30s", exitOK,
			"-  mv  pending  step 0  0%\n" + at + "canary  step 0  2%\n" + at + "done  step 0  100%\n"},
		{"taken back", []*basilloomv1.MoveStatus{canary, takingBack, takenBack}, "30s", exitTakenBack,
			at + "canary  step 0  2%\n" + at + "taking back  step 0  0%\n" + at + "taken back  step 0  0%\n"},
		{"done late", []*basilloomv1.MoveStatus{moveAt(basilloomv1.MovePhase_MOVE_PHASE_DONE, 100, true)}, "30s", exitLate, at + "done  step 0  100%  late\n"},
		{"still running", []*basilloomv1.MoveStatus{canary}, "300ms", exitLate, at + "canary  step 0  2%\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCLI(t, &fakeServer{moves: c.moves}, "move", "watch", "mv", "--interval", "10ms", "--timeout", c.limit)
			require.Equal(t, c.code, code, stderr)
			require.Equal(t, c.stdout, stdout)
		})
	}
}
