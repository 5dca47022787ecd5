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
	"github.com/basilloom/basilloom/internal/instance"
	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/telemetry"
	"github.com/basilloom/basilloom/telemetry/field"
)

const traceFlushTimeout = 5 * time.Second

// exitInvalidSettings is the exit code for invalid settings.
const exitInvalidSettings = 2

type commands struct {
	Serve    daemon.Settings `cmd:"" default:"withargs" help:"Serve with the project's own configuration (default)."`
	Platform platformCommand `cmd:"" help:"Serve the users' platform with its settings file."`
}

type platformCommand struct {
	SettingsFile string `env:"BASILLOOM_BOOT" help:"Path of the platform's settings file."`
	MetricsPort  int    `default:"0" env:"BASILLOOM_METRICS_PORT" help:"Port of the metrics listener; 0 selects the second port of the platform's port range."`
	LogLevel     string `default:"info" env:"BASILLOOM_LOG_LEVEL" help:"Minimum log level."`

	PlainSharedFrom int `default:"128" env:"BASILLOOM_PLAIN_SHARED_FROM" help:"Number of instances from which the shared broker places the requests of plain services of up to 128 slots; 0 leaves them to each instance."`

	SpillMinDelay time.Duration `default:"1ms" env:"BASILLOOM_SPILL_MIN_DELAY" help:"Measured one-way delay between two zones of a region from which the share of work that leaves a zone is planned; 0 turns the plan off."`

	TraceEndpoint string  `env:"BASILLOOM_TRACE_ENDPOINT" help:"OTLP/HTTP URL that traces are sent to; no traces are sent if empty."`
	TraceRatio    float64 `default:"0.01" env:"BASILLOOM_TRACE_RATIO" help:"Fraction of requests that are traced, from 0 to 1."`
}

func main() {
	var cli commands
	parsed := kong.Parse(&cli,
		kong.Name("basilloomd"),
		kong.Description("Schedules requests over model engines and plain services."))
	run := func() error { return serve(cli.Serve) }
	if parsed.Command() == "platform" {
		run = func() error { return servePlatform(cli.Platform) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "basilloomd:", err)
		os.Exit(1)
	}
}

func servePlatform(command platformCommand) error {
	// Without a handler the signal ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	file := platform.SettingsFile{Path: command.SettingsFile, MetricsPort: command.MetricsPort, SpillMinDelay: command.SpillMinDelay,
		PlainSharedFrom: command.PlainSharedFrom}
	settings, err := file.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilloomd:", err)
		os.Exit(exitInvalidSettings)
	}
	log, err := telemetry.NewDecisionLog(command.LogLevel, os.Stdout)
	if err != nil {
		return err
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	flushTraces, err := startTraces(ctx, telemetry.TraceSettings{
		Endpoint: command.TraceEndpoint, Ratio: command.TraceRatio, Instance: settings.Instance,
	}, log.Logger)
	if err != nil {
		return err
	}
	defer flushTraces()
	i, err := instance.New(settings, log.With(zap.String(field.Instance, settings.Instance)), log.Dropped)
	if err != nil {
		return err
	}
	return i.Run(ctx, file, reload)
}

func serve(settings daemon.Settings) error {
	log, err := telemetry.NewLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	flushTraces, err := startTraces(ctx, telemetry.TraceSettings{
		Endpoint: settings.TraceEndpoint, Ratio: settings.TraceRatio, Instance: settings.Instance,
	}, log)
	if err != nil {
		return err
	}
	defer flushTraces()
	d, err := daemon.New(settings, daemon.NewPlatform(settings), log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// startTraces starts the export of traces and returns a function that flushes them.
func startTraces(ctx context.Context, settings telemetry.TraceSettings, log *zap.Logger) (func(), error) {
	shutdown, err := telemetry.StartTraces(ctx, settings)
	if err != nil {
		return nil, err
	}
	return func() {
		flushCtx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		if err := shutdown(flushCtx); err != nil {
			log.Warn("traces not flushed", zap.Error(err))
		}
	}, nil
}
