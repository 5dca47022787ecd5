// Package demo runs a small deployment in one process: instances in two
// regions, engines of different speeds, five tiers and one version move.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/internal/embedded"
	"github.com/basilloom/basilloom/internal/load"
	standin "github.com/basilloom/basilloom/internal/standin/engine"
	"github.com/basilloom/basilloom/internal/standin/service"
)

const (
	seed            = 1
	rate            = 40 // requests/s
	loadDuration    = 20 * time.Second
	loadReportLag   = 500 * time.Millisecond
	versionLoadTime = 500 * time.Millisecond // time that an engine takes to load a version
	movePollPeriod  = 200 * time.Millisecond
	moveTimeout     = 4 * time.Second
)

// ErrMoveNotCompleted means that the version move did not end in the phase done.
var ErrMoveNotCompleted = errors.New("the version move was not completed")

type namedEngine struct {
	name   string
	kind   hardwareKind
	server *standin.Server
}

// Run runs the demo and prints its progress and results. It takes about 25 s.
func Run(ctx context.Context, out io.Writer) error {
	engines, orders, err := startTargets()
	defer func() {
		for _, e := range engines {
			e.server.Close()
		}
		if orders != nil {
			orders.Close()
		}
	}()
	if err != nil {
		return err
	}
	printf(out, "started %d stand-in engines of %d kinds and 1 plain service", len(engines), len(hardwareKinds))
	fleet, err := embedded.Start(ctx, places, configuration(engines, "http://"+orders.Address(), time.Now()), zap.NewNop(), nil)
	if err != nil {
		return err
	}
	defer fleet.Close()
	printf(out, "%d instances in 2 regions are ready; generation 1 is in force", len(places))
	printf(out, "sending %d requests/s in %d tiers for %v; version move of route chat from %s to %s", rate, len(mix.Classes), loadDuration, oldVersion, newVersion)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	finalRow := make(chan *pb.MoveRow, 1)
	go watchMove(watchCtx, out, fleet.Operators(), finalRow)
	callers := load.NewCallers(fleet.Callers(), []string{token})
	defer callers.Close()
	results := load.Run(ctx, mix.Generate(seed, rate, loadDuration), callers)
	row := waitForMove(finalRow)
	report := load.Summarize(mix, results)
	report.Policy, report.Seed, report.Rate, report.Seconds = "basilloom", seed, rate, loadDuration.Seconds()
	if err := report.WriteTable(out); err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	if row.GetPhase() != pb.MovePhase_MOVE_PHASE_DONE {
		return fmt.Errorf("%w: phase %s", ErrMoveNotCompleted, phaseName(row.GetPhase()))
	}
	printf(out, "version move %s: done", moveName)
	return nil
}

func startTargets() ([]namedEngine, *service.Service, error) {
	var engines []namedEngine
	for _, kind := range hardwareKinds {
		for n := range kind.count {
			server, err := standin.Listen(embedded.Loopback, standin.Settings{
				Versions:               []string{oldVersion},
				PrefillTokensPerSecond: kind.prefill,
				DecodeTokensPerSecond:  kind.decode,
				LoadLag:                loadReportLag,
				LoadTime:               versionLoadTime,
				Seed:                   seed + uint64(len(engines)),
			})
			if err != nil {
				return engines, nil, fmt.Errorf("start an engine: %w", err)
			}
			engines = append(engines, namedEngine{engineName(kind, n), kind, server})
		}
	}
	orders, err := service.Listen(embedded.Loopback, service.Settings{Seed: seed})
	if err != nil {
		return engines, nil, fmt.Errorf("start a service: %w", err)
	}
	return engines, orders, nil
}

// watchMove prints each change of the move and sends the row of its last phase.
func watchMove(ctx context.Context, out io.Writer, server string, finalRow chan<- *pb.MoveRow) {
	client := basilloomv1connect.NewOperatorServiceClient(http.DefaultClient, server)
	var last pb.MovePhase
	var step int32
	ticker := time.NewTicker(movePollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		response, err := client.GetMove(ctx, connect.NewRequest(&pb.GetMoveRequest{Name: moveName}))
		if err != nil {
			continue // retried at the next tick
		}
		row := response.Msg.GetMove().GetRow()
		if row.GetPhase() != last || row.GetStep() != step {
			last, step = row.GetPhase(), row.GetStep()
			printf(out, "version move %s: %s, %g%% of the route's requests", moveName, phaseName(last), row.GetSharePercent())
		}
		if last == pb.MovePhase_MOVE_PHASE_DONE || last == pb.MovePhase_MOVE_PHASE_TAKEN_BACK {
			finalRow <- row
			return
		}
	}
}

func phaseName(phase pb.MovePhase) string {
	return strings.ToLower(strings.TrimPrefix(phase.String(), "MOVE_PHASE_"))
}

func waitForMove(finalRow <-chan *pb.MoveRow) *pb.MoveRow {
	select {
	case row := <-finalRow:
		return row
	case <-time.After(moveTimeout):
		return nil
	}
}

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}
