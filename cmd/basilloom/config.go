package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/basilloom/basilloom/config"
	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

const (
	// applyAttempts is the maximum number of attempts of an apply that gets no response.
	applyAttempts = 3
	// applyPause is the pause between two attempts.
	applyPause = 500 * time.Millisecond
)

type configCmd struct {
	Validate configValidateCmd `cmd:"" help:"Check a configuration folder without a server."`
	Apply    configApplyCmd    `cmd:"" help:"Check a configuration folder and make it the next generation."`
	Status   configStatusCmd   `cmd:"" help:"Show the configuration in force and what each instance has."`
	Check    configCheckCmd    `cmd:"" help:"Check a configuration of the users' platform before it is sent."`
}

type configValidateCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Folder of .yaml files."`
}

// Run checks the folder as of the current time.
func (c *configValidateCmd) Run(e *env) error {
	merged, err := config.Read(os.DirFS(c.Dir), time.Now())
	if err != nil {
		return err
	}
	_, hash, err := config.Encode(merged)
	if err != nil {
		return err
	}
	if e.json {
		return e.printMessage(&basilloomv1.ApplyConfigResponse{Hash: hash})
	}
	_, err = fmt.Fprintln(e.stdout, "valid, hash", hash)
	return err
}

type configApplyCmd struct {
	Dir      string `arg:"" type:"existingdir" help:"Folder of .yaml files."`
	Operator string `help:"Name reported to an operator whose apply conflicts with this one." env:"BASILLOOM_OPERATOR,USER" default:"unknown"`
	Expect   *int64 `help:"Generation that this change is based on. Default: the generation in force at the start."`
	ApplyID  string `help:"Id of this apply. To retry an apply without a response safely, give its id."`
}

// Run repeats an apply that gets no response under the same id, so that it takes effect
// at most once.
func (c *configApplyCmd) Run(e *env) error {
	merged, err := config.Read(os.DirFS(c.Dir), time.Now())
	if err != nil {
		return err
	}
	request := &basilloomv1.ApplyConfigRequest{Config: merged, ApplyId: c.ApplyID, Operator: c.Operator}
	if request.ApplyId == "" {
		request.ApplyId = rand.Text()
	}
	if c.Expect != nil {
		request.ExpectGeneration = *c.Expect
	} else {
		status, err := call(e, e.client.ConfigStatus, &basilloomv1.ConfigStatusRequest{})
		if err != nil {
			return fmt.Errorf("read generation in force: %w", err)
		}
		request.ExpectGeneration = status.Generation
	}
	response, err := c.apply(e, request)
	if err != nil {
		return err
	}
	if e.json {
		return e.printMessage(response)
	}
	_, err = fmt.Fprintf(e.stdout, "accepted as generation %d, hash %s\n", response.Generation, response.Hash)
	return err
}

func (c *configApplyCmd) apply(e *env, request *basilloomv1.ApplyConfigRequest) (*basilloomv1.ApplyConfigResponse, error) {
	for attempt := 1; ; attempt++ {
		response, err := call(e, e.client.ApplyConfig, request)
		if err == nil || !isUnavailable(err) {
			return response, err
		}
		if attempt == applyAttempts {
			return nil, fmt.Errorf("the apply may have taken effect; repeat it with --apply-id %s --expect %d: %w",
				request.ApplyId, request.ExpectGeneration, err)
		}
		if err := e.sleep(applyPause); err != nil {
			return nil, err
		}
	}
}

// isUnavailable reports whether the server was unavailable or did not respond in time.
// The call may have taken effect.
func isUnavailable(err error) bool {
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

// sleep waits for the pause. If the context ends first, it returns the context's cause.
func (e *env) sleep(pause time.Duration) error {
	select {
	case <-e.ctx.Done():
		return context.Cause(e.ctx)
	case <-time.After(pause):
		return nil
	}
}

type configStatusCmd struct{}

// Run prints the configuration status in one instance's view.
func (c *configStatusCmd) Run(e *env) error {
	status, err := call(e, e.client.ConfigStatus, &basilloomv1.ConfigStatusRequest{})
	if err != nil {
		return err
	}
	if e.json {
		return e.printMessage(status)
	}
	_, err = fmt.Fprintf(e.stdout, "generation %d since %s, hash %s, store reachable: %t\n",
		status.Generation, formatTime(status.InForceSince), status.Hash, status.StoreReachable)
	if err != nil {
		return err
	}
	rows := [][]string{{"INSTANCE", "GENERATION", "SEEN"}}
	for _, i := range status.Instances {
		rows = append(rows, []string{i.Instance, strconv.FormatInt(i.Generation, 10), formatTime(i.Seen)})
	}
	return e.printTable(rows)
}
