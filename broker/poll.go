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

// Periods and limits of the polling of targets for reports.
const (
	loadPeriod       = 500 * time.Millisecond
	cacheEventRounds = 2 // cache events are requested in every second round
	// versionRounds is the interval of version polls in rounds. With 2, a newly loaded
	// version is used within 1 s, and a target that reports that it is leaving gets no
	// work after about 1 s.
	versionRounds = 2
	// maxPolls bounds the targets of a group that are polled at the same time.
	maxPolls = 16
	// pollTimeout bounds the polling of one target in one round.
	pollTimeout = loadPeriod
	// maxMissedReports is the number of consecutive rounds without a load report after
	// which a target gets no grants. Such a target is frozen or unreachable, and each
	// request granted to it would hang or fail.
	maxMissedReports = 3
	// maxFirstMissedReports is the same for a target that has not reported to this broker yet.
	// A broker that takes over because of a partition would otherwise grant requests to the
	// targets beyond it for 2 s.
	maxFirstMissedReports = 2
)

// PollTarget is a target that is polled for reports.
type PollTarget struct {
	Name    string
	Address string
}

// Reports fetches the reports of targets.
type Reports interface {
	Load(ctx context.Context, target PollTarget) (scheduler.LoadReport, error)
	CacheEvents(ctx context.Context, target PollTarget, after int64) ([]scheduler.CacheEvent, error)
	// Versions returns the versions that the target has loaded.
	Versions(ctx context.Context, target PollTarget) ([]string, error)
}

// poller polls the targets of a group and passes their reports to the group.
type poller struct {
	reports Reports
}

func (p *poller) run(ctx context.Context, r *runner, targets func() []PollTarget) {
	ticker := time.NewTicker(loadPeriod)
	defer ticker.Stop()
	last := newSequences()
	for round := 0; ; round++ {
		p.poll(ctx, r, targets(), last, round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll requests the reports of all targets once, from at most maxPolls at a time.
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
			if round%cacheEventRounds == 0 {
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
		return // the group is stopping
	}
	// The event is not bound to ctx, which has expired if the report took too long.
	_ = r.post(context.WithoutCancel(ctx), func(now time.Time) []scheduler.Decision {
		if err == nil {
			r.group.ObserveLoad(now, report)
		}
		return r.recordReport(now, target.Name, err == nil)
	})
}

// recordReport counts the consecutive rounds without a load report of a target. It
// returns decisions only if the target is excluded or readmitted.
func (r *runner) recordReport(now time.Time, target string, reported bool) []scheduler.Decision {
	before := r.isSilent(target)
	if reported {
		r.missedReports[target] = 0
	} else {
		if _, known := r.missedReports[target]; !known {
			r.missedReports[target] = maxMissedReports - maxFirstMissedReports
		}
		r.missedReports[target]++
	}
	if before == r.isSilent(target) {
		return nil
	}
	r.log.Info("target load reports stopped or resumed", zap.String(field.Target, target), zap.Bool(field.Reports, reported))
	return r.group.SetTargets(now, r.usableTargets())
}

// isSilent reports whether a target gets no grants because it sends no load reports.
func (r *runner) isSilent(target string) bool { return r.missedReports[target] >= maxMissedReports }

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

// sequences holds the sequence number of the last cache event of each target.
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

// refresh replaces the configured targets, the limits of cold ones and the owners of the
// siblings.
func (r *runner) refresh(settings GroupSettings, owners map[int]string) event {
	return func(now time.Time) []scheduler.Decision {
		r.targets = settings.Targets
		r.setColdRate(now, settings.Config)
		r.setSiblingOwners(now, owners)
		return r.group.SetTargets(now, r.usableTargets())
	}
}

// usableTargets replaces the configured versions of targets by the loaded ones and
// marks the targets without reports as leaving. If no target reports, the fault is
// probably on this instance's side, and the targets are assessed by requests only.
func (r *runner) usableTargets() []scheduler.Target {
	targets := slices.Clone(r.targets)
	unresponsive := 0
	for _, t := range targets {
		if r.isSilent(t.Name) {
			unresponsive++
		}
	}
	for i := range targets {
		if unresponsive < len(targets) && r.isSilent(targets[i].Name) {
			targets[i].Leaving = true
		}
		if versions, ok := r.versions[targets[i].Name]; ok {
			targets[i].Versions = versions
		}
	}
	return targets
}
