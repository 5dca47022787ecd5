package scheduler

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ended(n int, result Result) Completion { return Completion{ID: testID(n), Result: result} }

func healthOf(g *Group, name string) HealthState { return g.targets[name].health.state }

// Guards against a broken target that attracts traffic because it fails fast, and
// against the ejection of a target for failures that others cause.
func TestFailuresEject(t *testing.T) {
	for name, c := range map[string]struct {
		results []Result
		same    bool
		want    HealthState
	}{
		"consecutive failures":         {results: []Result{ResultFailed, ResultFailed, ResultFailed}, want: HealthEjected},
		"interrupted by a success":     {results: []Result{ResultFailed, ResultFailed, ResultServed, ResultFailed}, want: HealthHealthy},
		"one request, sent repeatedly": {results: []Result{ResultFailed, ResultFailed, ResultFailed, ResultFailed}, same: true, want: HealthHealthy},
		"a crash":                      {results: []Result{ResultTargetCrashed}, want: HealthEjected},
		"cancellations":                {results: []Result{ResultCancelled, ResultCancelled, ResultCancelled}, want: HealthHealthy},
		"unused grants":                {results: []Result{ResultNotDispatched, ResultNotDispatched, ResultNotDispatched}, want: HealthHealthy},
	} {
		g := testGroup(GroupConfig{}, Target{Name: "a"})
		for i, result := range c.results {
			g.Submit(t0, testTicket(i, func(t *Ticket) {
				if c.same {
					t.Fingerprint = 1
				}
			}))
			g.Complete(t0, ended(i, result))
		}
		require.Equal(t, c.want, healthOf(g, "a"), name)
	}
	g := testGroup(GroupConfig{}, Target{Name: "a"}, Target{Name: "b"})
	for i := range ejectFailures {
		g.Submit(t0, testTicket(i, func(t *Ticket) { t.Avoid = []string{"a"} }))
	}
	require.Equal(t, HealthEjected, healthOf(g, "a"), "entries fail to reach target a")
}

// Guards against a target that fails or cannot be reached and is not ejected, because all
// requests have the same content.
func TestFailuresOfEqualRequestsEject(t *testing.T) {
	equal := func(t *Ticket) { t.Fingerprint = 1 }
	g := testGroup(GroupConfig{}, Target{Name: "a"}, Target{Name: "b"})
	for i := range ejectFailures {
		failed, served := testTicket(2*i, equal), testTicket(2*i+1, equal)
		g.Adopt(t0, failed, "a", 0)
		g.Complete(t0, ended(2*i, ResultFailed))
		g.Adopt(t0, served, "b", 0)
		g.Complete(t0, ended(2*i+1, ResultServed))
	}
	require.Equal(t, HealthEjected, healthOf(g, "a"), "target b serves the requests")
	require.Equal(t, HealthHealthy, healthOf(g, "b"))

	g = testGroup(GroupConfig{}, Target{Name: "a"}, Target{Name: "b"})
	for i := range ejectFailures {
		g.Submit(t0, testTicket(i, func(t *Ticket) { t.Fingerprint, t.Avoid = 1, []string{"a"} }))
	}
	require.Equal(t, HealthEjected, healthOf(g, "a"), "entries fail to reach target a")
}

// Guards against probes with requests of higher tiers, against several probes at
// once, and against a back-off that does not grow.
func TestHalfOpenProbe(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "a"}, Target{Name: "b", Concurrency: 1})
	crash := func(now time.Time, n int) {
		g.Adopt(now, testTicket(n, nil), "a", 0)
		g.Complete(now, ended(n, ResultTargetCrashed))
	}
	g.Submit(t0, testTicket(100, func(t *Ticket) { t.Avoid = []string{"a"}; t.Tier = 3 }))
	g.Dispatched(t0, testID(100))
	g.Adopt(t0.Add(-time.Second), testTicket(2, nil), "a", 0)
	crash(t0, 1)
	require.Empty(t, g.Submit(t0, testTicket(10, onTier(0))), "ejected")
	now := t0.Add(firstBackoff * 2)
	require.Empty(t, g.Tick(now), "tier 0 is not the lowest in use")
	require.Empty(t, g.Submit(now, testTicket(11, func(t *Ticket) { t.Tier, t.Idempotent = 3, false })), "not idempotent")
	probe := g.Submit(now, testTicket(12, onTier(3)))
	require.Equal(t, []Decision{Grant{testID(12), "a", now.Add(GrantValidity)}}, probe)
	require.Empty(t, g.Submit(now, testTicket(13, onTier(3))), "one probe at a time")
	first := g.targets["a"].health.backoff
	g.Complete(now, ended(12, ResultFailed))
	require.Equal(t, HealthEjected, healthOf(g, "a"))
	require.Equal(t, 2*first, g.targets["a"].health.backoff)

	now = now.Add(2 * first * 2)
	decisions := g.Tick(now)
	require.Equal(t, testID(13), decisions[0].(Grant).Ticket)
	opened := g.Complete(now, ended(13, ResultServed))
	require.Equal(t, HealthHealthy, healthOf(g, "a"))
	require.Len(t, opened, 2, "the waiting tickets are granted the target again")
	g.Complete(now, ended(2, ResultTargetCrashed))
	require.Equal(t, HealthHealthy, healthOf(g, "a"), "request 2 was granted before the ejection")
	crash(now, 3)
	require.Greater(t, g.targets["a"].health.backoff, 2*first, "one served probe does not reset the back-off")
}

// Guards against an unreachable target that gets another probe at once, and
// against a target that stays ejected because no waiting ticket is a preferred
// probe.
func TestProbeEdges(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "a"})
	g.Submit(t0, testTicket(1, nil))
	g.Complete(t0, ended(1, ResultTargetCrashed))
	require.Empty(t, g.Submit(t0, testTicket(2, func(t *Ticket) { t.Idempotent = false })))
	now := t0.Add(2 * time.Second)
	require.Empty(t, g.Tick(now))
	now = now.Add(probeAnyTicketAfter)
	require.Len(t, g.Tick(now), 1)
	g.Complete(now, ended(2, ResultNotDispatched))
	require.Equal(t, HealthEjected, healthOf(g, "a"))
}

// Guards against a slow target that keeps its traffic, and against the ejection of
// a whole group, or of an older hardware generation, for its speed.
func TestSlowTargetsAreEjected(t *testing.T) {
	for name, c := range map[string]struct {
		slowness []float64
		want     int
	}{
		"one outlier":     {[]float64{1, 1, 1, 10}, 1},
		"all slow":        {[]float64{10, 10, 10, 10}, 0},
		"half slow":       {[]float64{1, 1, 1, 10, 10, 10}, 0},
		"at most a third": {[]float64{1, 1, 1, 1, 10, 10, 10}, 2},
		"too few":         {[]float64{1, 10}, 0},
	} {
		g := testGroup(GroupConfig{})
		for i, factor := range c.slowness {
			s := newTargetState(t0, Target{Name: strconv.Itoa(i), DecodeTokensPerSecond: float64(10 * (i + 1))}, g.holders)
			for range 20 {
				s.speed.observe(t0, Completion{PromptTokens: 100, OutputTokens: 100, FirstToken: 40 * time.Millisecond, Total: seconds(10 * factor / float64(i+1))}, backlog{}, 1)
			}
			g.order = append(g.order, s)
		}
		g.ejectSlow(t0)
		ejected := 0
		for _, s := range g.order {
			if s.health.cause == EjectSlow {
				ejected++
			}
		}
		require.Equal(t, c.want, ejected, name)
	}
}

// Guards against a hanging target that keeps its traffic, and against the ejection
// of one that responds to other requests or is only a little late.
func TestHangingTargetIsEjected(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		other bool
		want  HealthState
	}{
		"far beyond the estimate": {after: time.Minute, want: HealthEjected},
		"a little late":           {after: 5 * time.Second, want: HealthHealthy},
		"responds to others":      {after: time.Minute, other: true, want: HealthHealthy},
	} {
		g := testGroup(GroupConfig{}, Target{Name: "a", DecodeTokensPerSecond: 50})
		g.Submit(t0, testTicket(1, nil))
		g.Dispatched(t0, testID(1))
		now := t0.Add(c.after)
		if c.other {
			g.Submit(now, testTicket(2, nil))
			g.Complete(now, ended(2, ResultServed))
		}
		g.Tick(now)
		require.Equal(t, c.want, healthOf(g, "a"), name)
		g.Complete(now, ended(1, ResultServed))
		require.Equal(t, HealthHealthy, healthOf(g, "a"), "a late response ends the ejection")
	}
}

// Guards against other requests that fail with a suspect, and against a poison
// request that reaches a third target.
func TestSuspectsRunExclusively(t *testing.T) {
	poison := func(n int) Ticket { return testTicket(n, func(t *Ticket) { t.Fingerprint = 666 }) }
	suspect := []CrashEvidence{{Fingerprint: 666, ValidFor: time.Minute, CrashedTargets: []string{"z"}}}
	group := func(targets ...Target) *Group {
		g := testGroup(GroupConfig{}, targets...)
		g.SetQuarantined(t0, suspect)
		return g
	}
	// Nothing else runs on the suspect's target; after it was served, it is
	// treated like any other request.
	g := group(Target{Name: "a", Concurrency: 4})
	require.Len(t, g.Submit(t0, poison(1)), 1)
	require.Empty(t, g.Submit(t0, testTicket(2, nil)))
	require.Len(t, g.Complete(t0, ended(1, ResultServed)), 1)
	require.Empty(t, g.Quarantined(t0))
	require.Len(t, g.Submit(t0, poison(3)), 1)

	// A busy target drains for a suspect.
	g = group(Target{Name: "a", Concurrency: 4})
	require.Len(t, g.Submit(t0, testTicket(1, nil)), 1)
	require.Empty(t, g.Submit(t0, poison(2)))
	require.Empty(t, g.Submit(t0, testTicket(3, nil)))
	require.Equal(t, testID(2), g.Complete(t0, ended(1, ResultServed))[0].(Grant).Ticket)

	// A target that drains is open again for a higher tier and after a withdrawal.
	g = group(Target{Name: "a", Concurrency: 4})
	g.Submit(t0, testTicket(1, nil))
	low := poison(2)
	low.Tier = 1
	require.Empty(t, g.Submit(t0, low))
	require.Len(t, g.Submit(t0, testTicket(3, nil)), 1)
	require.Empty(t, g.Submit(t0, testTicket(4, onTier(1))))
	require.Len(t, g.Withdraw(t0, testID(2)), 1)

	// The second crash quarantines.
	g = group(Target{Name: "a"}, Target{Name: "b"})
	require.Len(t, g.Submit(t0, poison(1)), 1)
	g.Complete(t0, ended(1, ResultTargetCrashed))
	refusal := g.Submit(t0, poison(2))[0].(Refusal)
	require.Equal(t, ReasonQuarantined, refusal.Reason)
	require.Equal(t, QuarantineDuration, refusal.RetryAfter)
}

// Guards against requests that had begun to receive their responses when their target
// crashed and then wait for idle targets.
func TestRequestsThatHadBegunAreNotSuspects(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "a", Concurrency: 4})
	require.Len(t, g.Submit(t0, testTicket(1, nil)), 1)
	require.Len(t, g.Submit(t0, testTicket(2, nil)), 1)
	g.Complete(t0, Completion{ID: testID(1), Result: ResultTargetCrashed, FirstToken: time.Second})
	g.Complete(t0, ended(2, ResultTargetCrashed))
	g.SetTargets(t0, []Target{{Name: "b", Concurrency: 4}})
	require.Len(t, g.Submit(t0, testTicket(3, nil)), 1)
	again := func(n int) Ticket { return testTicket(10+n, func(t *Ticket) { t.Fingerprint = uint64(n) }) }
	require.Len(t, g.Submit(t0, again(1)), 1, "had begun")
	require.Empty(t, g.Submit(t0, again(2)), "had not begun")
}

// Guards against the ejection of a target for requests whose entry has no stream
// and cannot report their ends.
func TestRequestsOfEntryWithoutStreamDoNotHang(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "a", DecodeTokensPerSecond: 500})
	g.Submit(t0, testTicket(1, func(t *Ticket) { t.OutputTokens = 10 }))
	g.Dispatched(t0, testID(1))
	g.EntryDisconnected(t0, "i", 1)
	g.Tick(t0.Add(OrphanGrace))
	require.Equal(t, HealthHealthy, healthOf(g, "a"))
	require.Equal(t, 1, g.Snapshot()[0].Running)
}

// Guards against suspects that block other tickets while targets are open, and
// against a suspect that never gets a target because none is open.
func TestSuspectsDoNotBlockOthers(t *testing.T) {
	const suspects = 2 * maxSkips
	var entries []CrashEvidence
	for n := range suspects {
		entries = append(entries, CrashEvidence{Fingerprint: uint64(100 + n), ValidFor: time.Minute, CrashedTargets: []string{"z"}})
	}
	suspect := func(n int) Ticket {
		return testTicket(100+n, func(t *Ticket) { t.Fingerprint = uint64(100 + n) })
	}
	g := testGroup(GroupConfig{}, Target{Name: "a", Concurrency: 3}, Target{Name: "b", Concurrency: 3})
	require.Len(t, g.Submit(t0, testTicket(1, nil)), 1)
	require.Len(t, g.Submit(t0, testTicket(2, nil)), 1)
	g.SetQuarantined(t0, entries)
	for n := range suspects {
		require.Empty(t, g.Submit(t0, suspect(n)))
	}
	require.Len(t, g.Submit(t0, testTicket(3, nil)), 1, "one target drains, the other is open")
	require.Len(t, g.Submit(t0, testTicket(4, nil)), 1)
	require.Empty(t, g.Submit(t0, testTicket(5, nil)))

	g = testGroup(GroupConfig{}, Target{Name: "a", Concurrency: 1})
	require.Len(t, g.Submit(t0, testTicket(1, nil)), 1)
	g.SetQuarantined(t0, entries)
	require.Empty(t, g.Submit(t0, suspect(0)))
	require.Empty(t, g.Submit(t0, testTicket(2, nil)))
	require.Equal(t, testID(100), g.Complete(t0, ended(1, ResultServed))[0].(Grant).Ticket)
}

// Guards against the ejection of an engine for short responses that waited behind
// other prompts, or because it has few samples and the other engines have many.
func TestShortResponsesDoNotMakeAnEngineSlow(t *testing.T) {
	stream := Completion{PromptTokens: 100, OutputTokens: 100, FirstToken: 40 * time.Millisecond, Total: 540 * time.Millisecond}
	short := Completion{PromptTokens: 100, OutputTokens: 7, FirstToken: time.Second, Total: time.Second}
	for name, c := range map[string]struct {
		samples []Completion
	}{
		"short responses": {slices.Repeat([]Completion{short}, 10)},
		"short streams":   {slices.Repeat([]Completion{{PromptTokens: 100, OutputTokens: 14, FirstToken: time.Millisecond, Total: time.Second}}, 10)},
		"few streams":     {slices.Repeat([]Completion{stream}, slownessSamples)},
	} {
		g := testGroup(GroupConfig{})
		for i := range 4 {
			s := newTargetState(t0, Target{Name: strconv.Itoa(i), DecodeTokensPerSecond: 20}, g.holders)
			samples := slices.Repeat([]Completion{stream}, 100)
			if i == 0 {
				samples = c.samples
			}
			for _, sample := range samples {
				s.speed.observe(t0, sample, backlog{}, 1)
			}
			g.order = append(g.order, s)
		}
		g.ejectSlow(t0)
		require.Equal(t, HealthHealthy, g.order[0].health.state, name)
	}
}

// Guards against the ejection of an engine for its hardware where no speeds are
// configured, and against an engine that becomes slow and keeps its traffic.
func TestUnknownSpeedsAreComparedWithOwnHistory(t *testing.T) {
	stream := func(factor float64) Completion {
		return Completion{PromptTokens: 100, OutputTokens: 101, FirstToken: 40 * time.Millisecond, Total: 40*time.Millisecond + seconds(0.5*factor)}
	}
	g := testGroup(GroupConfig{})
	for i, factor := range []float64{1, 1.5, 2, 7} {
		s := newTargetState(t0, Target{Name: strconv.Itoa(i), DecodeTokensPerSecond: 300, SpeedUnknown: true}, g.holders)
		for range 20 {
			s.speed.observe(t0, stream(factor), backlog{}, 1)
		}
		g.order = append(g.order, s)
	}
	g.ejectSlow(t0)
	require.Equal(t, HealthHealthy, g.order[3].health.state)
	for range 20 {
		g.order[0].speed.observe(t0, stream(8), backlog{}, 1)
	}
	g.ejectSlow(t0)
	require.Equal(t, HealthEjected, g.order[0].health.state)
}

// Guards against the ejection of all targets of a group in which every target
// fails part of its requests, and against a single failing target that keeps its
// traffic.
func TestFailuresOfTheWholeGroupDoNotEject(t *testing.T) {
	var targets []Target
	for i := range 9 {
		targets = append(targets, Target{Name: strconv.Itoa(i), Concurrency: 1})
	}
	fail := func(g *Group, failing func(target string) float64) (ejected int) {
		rng := rand.New(rand.NewPCG(1, 1))
		for round := range 200 {
			var grants []Grant
			for n := range len(targets) {
				id := round*len(targets) + n
				decisions := g.Submit(t0, testTicket(id, nil))
				if len(decisions) == 0 {
					g.Withdraw(t0, testID(id)) // a target is ejected
					continue
				}
				grants = append(grants, decisions[0].(Grant))
			}
			for _, grant := range grants {
				result := ResultServed
				if rng.Float64() < failing(grant.Target) {
					result = ResultFailed
				}
				g.Complete(t0, Completion{ID: grant.Ticket, Result: result})
			}
			if round%10 == 9 {
				for _, s := range g.order {
					if s.health.state != HealthHealthy {
						ejected++
						s.health = health{}
						g.refreshOpen(s)
					}
				}
			}
		}
		return ejected
	}
	all := fail(testGroup(GroupConfig{}, targets...), func(string) float64 { return 0.4 })
	require.LessOrEqual(t, all, 4, "of 20 times 9")
	one := fail(testGroup(GroupConfig{}, targets...), func(target string) float64 {
		if target == "3" {
			return 1
		}
		return 0
	})
	require.Equal(t, 20, one)
}

// Guards against a target that drains for a suspect whose deadline passes before
// the target is idle.
func TestTargetDrainsOnlyIfIdleInTime(t *testing.T) {
	for name, c := range map[string]struct {
		wait   time.Duration
		drains bool
	}{
		"in time":  {10 * time.Second, true},
		"too late": {time.Second, false},
	} {
		g := testGroup(GroupConfig{}, Target{Name: "a", Concurrency: 3, DecodeTokensPerSecond: 50})
		require.Len(t, g.Submit(t0, testTicket(1, func(t *Ticket) { t.OutputTokens = 200 })), 1, name) // 4 s
		g.SetQuarantined(t0, []CrashEvidence{{Fingerprint: 7, ValidFor: time.Minute, CrashedTargets: []string{"z"}}})
		require.Empty(t, g.Submit(t0, testTicket(2, func(t *Ticket) {
			t.Fingerprint = 7
			t.Deadline = t0.Add(c.wait)
		})), name)
		require.Equal(t, c.drains, len(g.Submit(t0, testTicket(3, nil))) == 0, name)
	}
}
