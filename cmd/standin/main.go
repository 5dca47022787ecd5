// Command standin runs one stand-in of an external system as its own process. It
// prints one JSON line with its address when it is ready.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/basilloom/basilloom/internal/standin/httpserver"
)

const (
	envPrefix = "BASILLOOM_STANDIN"
	// crashExitCode distinguishes an injected crash from other failures.
	crashExitCode = 3
)

// commands lists the stand-ins. Each is a struct that embeds listenFlags and has a Run
// method, which usually calls serve.
type commands struct {
	Engine  engineCommand  `cmd:"" help:"Run a model engine."`
	Service serviceCommand `cmd:"" help:"Run a plain service."`
	Link    linkCommand    `cmd:"" help:"Run a network link between two sides."`
	Weights weightsCommand `cmd:"" help:"Run a weight store that engines of several processes share."`

	Table     tableCommand     `cmd:"" help:"Run a table service (DynamoDB protocol)."`
	Objects   objectsCommand   `cmd:"" help:"Run an object store (S3 protocol)."`
	Instances instancesCommand `cmd:"" help:"Run the platform's list of instances."`
}

type listenFlags struct {
	Listen string `help:"TCP address to listen on." default:"127.0.0.1:0"`
}

// ready is the JSON line printed when a stand-in accepts connections.
type ready struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
	// Forwards are the listening addresses of a link, in the order of its flags.
	Forwards []string `json:"forwards,omitempty"`
}

// output is the writer of the ready line.
type output struct{ io.Writer }

func (o output) ready(line ready) error {
	if err := json.NewEncoder(o).Encode(line); err != nil {
		return fmt.Errorf("print ready line: %w", err)
	}
	return nil
}

// serve serves a handler until ctx ends.
func serve(ctx context.Context, out output, kind string, flags listenFlags, handler http.Handler) error {
	server := httpserver.New(flags.Listen, handler)
	if err := server.Start(); err != nil {
		return err
	}
	defer server.Abort()
	if err := out.ready(ready{Kind: kind, Address: server.Address()}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// crash exits the process without closing anything, like a real crash.
func crash() {
	os.Exit(crashExitCode)
}

func main() {
	runCtx, cancel := signalContext()
	defer cancel()
	var cli commands
	ctx := kong.Parse(&cli,
		kong.Name("standin"),
		kong.Description("Stand-ins of the systems around basilloom, for tests and demos."),
		kong.DefaultEnvars(envPrefix),
		kong.Bind(output{os.Stdout}),
		kong.BindTo(runCtx, (*context.Context)(nil)),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
