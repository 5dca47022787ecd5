package broker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// Periods of the reports that a broker asks its targets for.
const (
	loadPeriod  = 500 * time.Millisecond
	cacheRounds = 2 // cache events are asked for in every second round
	// versionRounds: a version that has been loaded is used within 2 s.
	versionRounds = 4
	maxPolls      = 16
	// pollTimeout keeps one frozen target from delaying the reports of the others.
	pollTimeout = loadPeriod
)

// PollTarget is a target whose reports are asked for.
type PollTarget struct {
	Name    string
	Address string
}

// Reports fetches what targets publish of themselves.
type Reports interface {
	Load(ctx context.Context, target PollTarget) (scheduler.LoadReport, error)
	CacheEvents(ctx context.Context, target PollTarget, after int64) ([]scheduler.CacheEvent, error)
	// Versions returns the versions that the target has loaded.
	Versions(ctx context.Context, target PollTarget) ([]string, error)
}

// poller feeds a group with the reports of its targets.
type poller struct {
	reports Reports
}

func (p *poller) run(ctx context.Context, r *runner, targets func() []PollTarget) {
	ticker := time.NewTicker(loadPeriod)
	defer ticker.Stop()
	last := newSequences()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.poll(ctx, r, targets(), last, round)
	}
}

// poll asks all targets once, maxPolls of them at a time.
func (p *poller) poll(ctx context.Context, r *runner, targets []PollTarget, last *sequences, round int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxPolls)
	for _, target := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			p.pollLoad(ctx, r, target)
			if round%cacheRounds == 0 {
				p.pollCache(ctx, r, target, last)
			}
			if round%versionRounds == 0 {
				p.pollVersions(ctx, r, target)
			}
		})
	}
	wg.Wait()
}

func (p *poller) pollVersions(ctx context.Context, r *runner, target PollTarget) {
	versions, err := p.reports.Versions(ctx, target)
	if err != nil {
		return
	}
	_ = r.post(ctx, func(now time.Time) []scheduler.Decision {
		if slices.Equal(r.versions[target.Name], versions) {
			return nil
		}
		r.versions[target.Name] = versions
		return r.group.SetTargets(now, r.withVersions())
	})
}

func (p *poller) pollLoad(ctx context.Context, r *runner, target PollTarget) {
	report, err := p.reports.Load(ctx, target)
	if err != nil {
		return // the group judges a target by its requests
	}
	_ = r.post(ctx, func(now time.Time) []scheduler.Decision {
		r.group.ObserveLoad(now, report)
		return nil
	})
}

func (p *poller) pollCache(ctx context.Context, r *runner, target PollTarget, last *sequences) {
	events, err := p.reports.CacheEvents(ctx, target, last.get(target.Name))
	if err != nil || len(events) == 0 {
		return
	}
	last.set(target.Name, events[len(events)-1].Sequence)
	_ = r.post(ctx, func(now time.Time) []scheduler.Decision {
		r.group.ObserveCache(now, target.Name, events)
		return nil
	})
}

// sequences holds the last cache event seen of each target.
type sequences struct {
	mu   sync.Mutex
	last map[string]int64
}

func newSequences() *sequences { return &sequences{last: make(map[string]int64)} }

func (s *sequences) get(target string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[target]
}

func (s *sequences) set(target string, sequence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[target] = sequence
}

// refresh takes over the configured targets and the owners of the siblings.
func (r *runner) refresh(targets []scheduler.Target, owners map[int]string) event {
	return func(now time.Time) []scheduler.Decision {
		r.targets = targets
		r.followSiblings(now, owners)
		return r.group.SetTargets(now, r.withVersions())
	}
}

// withVersions replaces the configured versions of targets by the loaded ones.
func (r *runner) withVersions() []scheduler.Target {
	targets := slices.Clone(r.targets)
	for i := range targets {
		if versions, ok := r.versions[targets[i].Name]; ok {
			targets[i].Versions = versions
		}
	}
	return targets
}
