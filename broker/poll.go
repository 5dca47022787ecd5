package broker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Periods of the reports that a broker asks its targets for.
const (
	loadPeriod  = 500 * time.Millisecond
	cacheRounds = 2 // cache events are asked for in every second round
	// versionRounds: a version that has been loaded is used within 1 s, and a
	// target that reports that it is leaving gets no work after about 1 s.
	versionRounds = 2
	maxPolls      = 16
	// pollTimeout bounds the reports of one target in one round.
	pollTimeout = loadPeriod
	// maxMisses is the number of consecutive rounds without a load report after
	// which a target gets no grants: it is frozen or cannot be reached, and each
	// request granted to it would be stuck or fail.
	maxMisses = 3
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
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxPolls)
	for _, target := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
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
		return r.group.SetTargets(now, r.usableTargets())
	})
}

func (p *poller) pollLoad(ctx context.Context, r *runner, target PollTarget) {
	report, err := p.reports.Load(ctx, target)
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return // the group stops
	}
	// Not bound to ctx, which has ended after a report that took too long.
	_ = r.post(context.WithoutCancel(ctx), func(now time.Time) []scheduler.Decision {
		if err == nil {
			r.group.ObserveLoad(now, report)
		}
		return r.noteReport(now, target.Name, err == nil)
	})
}

// noteReport counts the rounds in which a target gave no load report. Decisions
// arise when the target is taken out or comes back.
func (r *runner) noteReport(now time.Time, target string, reported bool) []scheduler.Decision {
	before := r.misses[target]
	if reported {
		delete(r.misses, target)
	} else {
		r.misses[target]++
	}
	if (before >= maxMisses) == (r.misses[target] >= maxMisses) {
		return nil
	}
	r.log.Info("target reports changed", zap.String(field.Target, target), zap.Bool(field.Reports, reported))
	return r.group.SetTargets(now, r.usableTargets())
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
		return r.group.SetTargets(now, r.usableTargets())
	}
}

// usableTargets replaces the configured versions of targets by the loaded ones
// and closes the targets that give no reports. While none gives any, the fault
// is likely to be on this side, and the group judges by requests alone.
func (r *runner) usableTargets() []scheduler.Target {
	targets := slices.Clone(r.targets)
	silent := 0
	for _, t := range targets {
		if r.misses[t.Name] >= maxMisses {
			silent++
		}
	}
	for i := range targets {
		if silent < len(targets) && r.misses[targets[i].Name] >= maxMisses {
			targets[i].Leaving = true
		}
		if versions, ok := r.versions[targets[i].Name]; ok {
			targets[i].Versions = versions
		}
	}
	return targets
}
