// Command basilloomd runs one instance of basilloom.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/basilloom/basilloom/internal/daemon"
	"github.com/basilloom/basilloom/telemetry"
)

const traceFlushTimeout = 5 * time.Second

func main() {
	var settings daemon.Settings
	kong.Parse(&settings,
		kong.Name("basilloomd"),
		kong.Description("Schedules requests over model engines and plain services."))
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "basilloomd:", err)
		os.Exit(1)
	}
}

func run(settings daemon.Settings) error {
	log, err := telemetry.NewLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	endTraces, err := telemetry.StartTraces(ctx, telemetry.TraceSettings{
		Endpoint: settings.TraceEndpoint, Ratio: settings.TraceRatio, Instance: settings.Instance,
	})
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, daemon.NewPlatform(settings), log)
	if err != nil {
		return err
	}
	runErr := d.Run(ctx)
	flush, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := endTraces(flush); err != nil {
		log.Warn("traces not flushed", zap.Error(err))
	}
	return runErr
}
