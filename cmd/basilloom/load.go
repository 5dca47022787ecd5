package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/internal/load"
)

type loadCmd struct {
	Callers  []string      `help:"Base URLs of instances' callers' listeners."`
	Token    []string      `help:"Bearer tokens of workspaces; each call takes one by the seed." env:"BASILLOOM_TOKENS"`
	Engines  []string      `help:"Base URLs of the stand-in engines, for the prefill counts and the baselines."`
	Services []string      `help:"Base URLs of services, for the baselines."`
	Mix      string        `help:"Mix of requests." enum:"plumage-box,clearwater" default:"plumage-box"`
	Policy   string        `help:"Scheduler, or a baseline that sends straight to the engines." enum:"basilloom,round-robin,least-load" default:"basilloom"`
	Rate     float64       `help:"Mean arrivals per second." default:"10"`
	Duration time.Duration `help:"Time of the arrivals." default:"20s"`
	Seed     uint64        `help:"Seed of arrivals and prompts." default:"1"`
}

// Run generates the load and prints the report.
func (c *loadCmd) Run(e *env) error {
	mix, err := load.MixByName(c.Mix)
	if err != nil {
		return err
	}
	if c.Rate <= 0 || c.Duration <= 0 {
		return errors.New("--rate and --duration must be above 0")
	}
	sender, closeSender, err := c.sender(e.ctx)
	if err != nil {
		return err
	}
	defer closeSender()
	before, err := load.FetchStats(e.ctx, c.Engines)
	if err != nil {
		return err
	}
	results := load.Run(e.ctx, mix.Generate(c.Seed, c.Rate, c.Duration), sender)
	report := load.Summarize(mix, results)
	report.Policy, report.Seed, report.Rate, report.Seconds = c.Policy, c.Seed, c.Rate, c.Duration.Seconds()
	if len(c.Engines) > 0 {
		after, err := load.FetchStats(e.ctx, c.Engines)
		if err != nil {
			return err
		}
		report.Prefill = load.NewPrefill(results, after.Sub(before))
	}
	if e.json {
		return report.WriteJSON(e.stdout)
	}
	return report.WriteTable(e.stdout)
}

func (c *loadCmd) sender(ctx context.Context) (load.Sender, func(), error) {
	if c.Policy == "basilloom" {
		if len(c.Callers) == 0 {
			return nil, nil, errors.New("--callers is required")
		}
		callers := load.NewCallers(c.Callers, c.Token)
		return callers, callers.Close, nil
	}
	if len(c.Engines) == 0 {
		return nil, nil, errors.New("--engines is required by the baselines")
	}
	ctx, cancel := context.WithCancel(ctx)
	client := engine.NewClient()
	policy := load.NewPolicy(ctx, c.Policy, load.Targets(c.Engines), client)
	direct := load.NewDirect(policy, load.Targets(c.Services), client, fmt.Sprintf("load-%d", time.Now().UnixNano()))
	return direct, func() { cancel(); client.Close() }, nil
}
