// Command basilloom is the operators' command line.
//
// Exit codes: 0 success, 1 other failure, 2 usage, 3 invalid configuration,
// 4 conflict with another operator, 5 server unreachable, 6 move taken back,
// 7 move late or still running at --timeout. config check uses 0 nothing found,
// 1 findings, 2 not readable.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
)

// cli lists the commands. A new command is a field here and a struct with a
// method Run(*env) error in a file of its own.
type cli struct {
	Server      string        `help:"URL of an instance's operators' listener." env:"BASILLOOM_SERVER" default:"http://127.0.0.1:7073"`
	Output      string        `help:"Output format: json or table." enum:"json,table" default:"table"`
	CallTimeout time.Duration `help:"Timeout of one call to the server." default:"5s"`

	Config  configCmd  `cmd:"" help:"Validate, apply and show the configuration."`
	Move    moveCmd    `cmd:"" help:"Show, watch and cancel version moves."`
	Targets targetsCmd `cmd:"" help:"List the targets in one instance's view."`
	Load    loadCmd    `cmd:"" help:"Generate load and report the results seen by callers."`
	Explain explainCmd `cmd:"" help:"Report the outcome of a request from the logs of instances."`
	Report  reportCmd  `cmd:"" help:"Count outcomes and reasons by second from the logs of instances."`
	Demo    demoCmd    `cmd:"" help:"Run a complete deployment in one process for half a minute."`
	Version versionCmd `cmd:"" help:"Print the version of this program."`
}

// env holds the server's client, the output and the global options of a command.
type env struct {
	ctx         context.Context
	client      basilloomv1connect.OperatorServiceClient
	callTimeout time.Duration
	json        bool
	stdout      io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var commands cli
	helpShown := false
	parser, err := kong.New(&commands, kong.Name("basilloom"), kong.Writers(stdout, stderr),
		kong.Description("Operates basilloom. "+exitCodeHelp), kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "basilloom:", err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "basilloom:", err)
		return exitUsage
	}
	e := &env{
		ctx:         ctx,
		client:      basilloomv1connect.NewOperatorServiceClient(http.DefaultClient, commands.Server),
		callTimeout: commands.CallTimeout,
		json:        commands.Output == "json",
		stdout:      stdout,
	}
	err = parsed.Run(e)
	e.printError(err, stderr)
	return exitCode(err)
}
