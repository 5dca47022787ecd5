package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/basilloom/basilloom/engine"
	"github.com/basilloom/basilloom/internal/load"
	"github.com/basilloom/basilloom/internal/load/experiment"
)

type loadCmd struct {
	Callers    []string      `help:"Base URLs of instances' callers' listeners."`
	Token      []string      `help:"Bearer tokens of workspaces; each call uses one, chosen by the seed." env:"BASILLOOM_TOKENS"`
	Engines    []string      `help:"Base URLs of the stand-in engines, for the prefill counts and the baselines."`
	Services   []string      `help:"Base URLs of services, for the baselines."`
	Mix        string        `help:"Mix of requests." enum:"plumage-box,clearwater" default:"plumage-box"`
	Policy     string        `help:"Scheduler, or a baseline that sends straight to the engines." enum:"basilloom,round-robin,least-load" default:"basilloom"`
	Rate       float64       `help:"Mean arrivals per second." default:"10"`
	Duration   time.Duration `help:"Period in which requests arrive." default:"20s"`
	Experiment string        `help:"Experiment that starts engines and instances in this process and compares the policies. Ignores the addresses and --rate." enum:"none,overload" default:"none"`
	Factors    []float64     `help:"Loads of the experiment in multiples of the engines' capacity." default:"0.7,1,2"`
	Policies   []string      `help:"Policies of the experiment." enum:"basilloom,round-robin,least-load" default:"basilloom,round-robin,least-load"`
	Capacity   float64       `help:"Capacity in requests/s; 0 measures it." default:"0"`
	Seed       uint64        `help:"Seed of arrivals and prompts." default:"1"`
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
	if c.Experiment == "overload" {
		return c.overload(e, mix)
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

// overload prints one report for each load and policy.
func (c *loadCmd) overload(e *env, mix load.Mix) error {
	capacity := c.Capacity
	if capacity == 0 {
		measured, err := experiment.MeasureCapacity(e.ctx, mix, c.Seed)
		if err != nil {
			return err
		}
		capacity = measured
	}
	for _, factor := range c.Factors {
		for _, policy := range c.Policies {
			result, err := experiment.Run(e.ctx, experiment.Settings{
				Mix: mix, Policy: policy, Seed: c.Seed, Capacity: capacity, Factor: factor, Duration: c.Duration,
			})
			if err != nil {
				return fmt.Errorf("policy %s at %g times capacity: %w", policy, factor, err)
			}
			if err := printResult(e, result); err != nil {
				return err
			}
		}
	}
	return nil
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
		return nil, nil, errors.New("--engines is required for a baseline policy")
	}
	ctx, cancel := context.WithCancel(ctx)
	client := engine.NewClient()
	policy := load.NewPolicy(ctx, c.Policy, load.Targets(c.Engines), client)
	direct := load.NewDirect(policy, load.Targets(c.Services), client, fmt.Sprintf("load-%d", time.Now().UnixNano()))
	return direct, func() { cancel(); client.Close() }, nil
}

func printResult(e *env, result experiment.Result) error {
	if e.json {
		return json.NewEncoder(e.stdout).Encode(result)
	}
	return result.WriteTable(e.stdout)
}
