package scheduler

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/prefix"
)

func testPrefix(seed uint64, blocks int) []uint64 {
	all := make([]uint64, blocks)
	for i := range all {
		all[i] = seed<<16 + uint64(i) + 1
	}
	return prefix.Sample(all)
}

const tickStep = 20 * time.Millisecond

// Guards against a choice that ignores one part of the cost. The target "a" is
// chosen at equal cost, so each case must outweigh it.
func TestChoiceOfTarget(t *testing.T) {
	target := func(name, region string, prefill, decode float64) Target {
		return Target{Name: name, Region: region, PrefillTokensPerSecond: prefill, DecodeTokensPerSecond: decode}
	}
	equalTargets := []Target{target("a", "r", 1000, 50), target("b", "r", 1000, 50)}
	remoteA := []Target{target("a", "far", 1000, 50), target("b", "r", 1000, 50)}
	backlogOnB := func(g *Group) { g.ObserveLoad(t0, LoadReport{Target: "b", AsOf: t0, QueuedPrefillTokens: 5000}) }
	long := func(t *Ticket) { t.PromptTokens = 10000; t.Prefix = testPrefix(1, 150) }
	for name, c := range map[string]struct {
		cfg     GroupConfig
		targets []Target
		before  func(g *Group)
		ticket  func(*Ticket)
		want    string
	}{
		"faster prefill": {targets: []Target{target("a", "r", 1000, 50), target("b", "r", 4000, 50)}, ticket: long, want: "b"},
		"faster decode":  {targets: []Target{target("a", "r", 1000, 20), target("b", "r", 1000, 50)}, want: "b"},
		"cached prefix": {targets: equalTargets, ticket: long, want: "b", before: func(g *Group) {
			g.ObserveCache(t0, "b", []CacheEvent{{Sequence: 1, Kind: CacheStored, Blocks: testPrefix(1, 64)}})
		}},
		"short behind long":             {targets: equalTargets, want: "b", before: func(g *Group) { g.Submit(t0, testTicket(1, long)) }},
		"external load":                 {targets: equalTargets, want: "b", before: func(g *Group) { g.ObserveLoad(t0, LoadReport{Target: "a", AsOf: t0, Running: 3}) }},
		"external prompts":              {targets: equalTargets, want: "b", before: func(g *Group) { g.ObserveLoad(t0, LoadReport{Target: "a", AsOf: t0, QueuedPrefillTokens: 5000}) }},
		"local first":                   {targets: remoteA, want: "b"},
		"local first, busy":             {targets: remoteA, want: "b", before: func(g *Group) { g.ObserveLoad(t0, LoadReport{Target: "b", AsOf: t0, Running: 1}) }},
		"remote if local is backlogged": {targets: remoteA, want: "a", before: backlogOnB},
		"remote at a price": {
			cfg:     GroupConfig{Links: map[RegionPair]Link{{"r", "far"}: {BytesPerSecond: 4e6, PricePerMegabyte: 10 * time.Second}}},
			targets: remoteA, want: "b", ticket: func(t *Ticket) { t.BodyBytes = 1e6 },
			before: backlogOnB,
		},
		"remote with exhausted link": {
			cfg:     GroupConfig{Links: map[RegionPair]Link{{"r", "far"}: {BytesPerSecond: 1e6}}},
			targets: remoteA, want: "b",
			before: func(g *Group) {
				backlogOnB(g)
				g.chargeLink(t0, &Ticket{Region: "r", BodyBytes: 8e6}, "far")
			},
		},
		"unused grant": {targets: equalTargets, want: "a", ticket: long, before: func(g *Group) {
			g.Submit(t0, testTicket(1, func(t *Ticket) { long(t); t.Avoid = []string{"a"} }))
			g.Complete(t0, ended(1, ResultNotDispatched))
		}},
		"uncertain estimate": {targets: equalTargets, want: "b", before: func(g *Group) { g.targets["a"].speed.meanError = 1 }, ticket: func(t *Ticket) { t.Deadline = t0.Add(time.Second) }},
		"faster service": {targets: []Target{{Name: "a", Region: "r", Service: true}, {Name: "b", Region: "r", Service: true}}, want: "b", before: func(g *Group) {
			g.targets["a"].speed.observe(t0, Completion{Total: 5 * time.Second}, backlog{}, 1)
		}},
		"target that the entry failed to reach": {targets: equalTargets, ticket: func(t *Ticket) { t.Avoid = []string{"a"} }, want: "b"},
	} {
		g := testGroup(c.cfg, c.targets...)
		if c.before != nil {
			c.before(g)
		}
		decisions := g.Submit(t0, testTicket(2, c.ticket))
		for after := time.Duration(0); len(decisions) == 0 && after < 10*time.Second; after += tickStep {
			// The chosen target may have to process other prompts first.
			decisions = g.Tick(t0.Add(after))
		}
		require.NotEmpty(t, decisions, name)
		require.Equal(t, c.want, decisions[0].(Grant).Target, name)
	}
}

// Guards against an estimate that charges short requests for long ones, and
// against one that does not follow a change of speed.
func TestSpeedIsLearned(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	s := newSpeed(t0, Target{})
	learn := func(base, perToken float64) {
		for range 200 {
			tokens := int(100 * (1 + 99*rng.Float64()*rng.Float64()))
			first := seconds(base + perToken*float64(tokens))
			s.observe(t0, Completion{PromptTokens: tokens, OutputTokens: 101, FirstToken: first, Total: first + 2*time.Second}, backlog{}, 4)
		}
	}
	for _, c := range []struct{ base, perToken float64 }{{0.05, 0.0005}, {0.05, 0.002}, {0.2, 0.0001}} {
		learn(c.base, c.perToken)
		require.InEpsilon(t, c.base+100*c.perToken, s.firstTokenSeconds(100), 0.1)
		require.InEpsilon(t, c.base+10000*c.perToken, s.firstTokenSeconds(10000), 0.1)
	}
	require.InEpsilon(t, 2.0, s.decodeSeconds(100, 4), 0.1)
}

// Guards against waits behind long prompts that count as the target's overhead.
// The next waits would then be predicted too short, and short prompts refused.
func TestWaitDoesNotCountAsOverhead(t *testing.T) {
	const perToken = 0.0004 // twice the initial estimate
	s := newSpeed(t0, Target{PrefillTokensPerSecond: 5000})
	for range 50 {
		ahead := backlog{tokens: 4000, time: 800 * time.Millisecond}
		first := seconds(0.02 + perToken*4100)
		s.observe(t0, Completion{PromptTokens: 100, OutputTokens: 10, FirstToken: first, Total: 2 * time.Second}, ahead, 1)
	}
	require.Less(t, s.firstTokenSeconds(100), 0.2)
	require.InEpsilon(t, perToken, s.perToken, 0.2)
}

// Guards against a margin that applies the errors of long prompts to short ones
// and refuses them.
func TestMarginIsProportional(t *testing.T) {
	s := newSpeed(t0, Target{})
	for range 200 {
		s.recordError(time.Second, 1500*time.Millisecond)
	}
	require.InDelta(t, 0.5, s.margin(1), 0.01)
	require.InDelta(t, 0.01, s.margin(0.02), 0.001)
	for range 200 {
		s.recordError(10*time.Millisecond, time.Second)
	}
	require.InDelta(t, 1, s.margin(1), 0.01, "the margin is at most the estimate")
}

// Guards against tickets that no target accepts any more but that stay at the
// head of the queue, where they let lower tiers pass.
func TestRefusalIncludesTheMargin(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 1, PrefillTokensPerSecond: 1000})
	g.targets["x"].speed.meanError, g.targets["x"].speed.meanEstimate = 1, 1
	g.set("").updateBounds(t0)
	g.Submit(t0, testTicket(1, nil))
	g.Dispatched(t0, testID(1))
	// 120 ms to the first token, and the same for the margin.
	require.Empty(t, g.Submit(t0, testTicket(2, func(t *Ticket) { t.Deadline = t0.Add(900 * time.Millisecond) })))
	require.Empty(t, g.Tick(t0.Add(640*time.Millisecond)))
	decisions := g.Tick(t0.Add(680 * time.Millisecond))
	require.Len(t, decisions, 1)
	require.Equal(t, ReasonDeadline, decisions[0].(Refusal).Reason)
}

// Guards against a limit that leaves batches small or lets the time between
// tokens exceed the objective.
func TestConcurrencyConvergesToTheObjective(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	l := newLimiter(0)
	within := 0
	for i := range 20000 {
		batch := l.limit()
		// The objective of 32 ms is reached at a batch of 24; 5% noise.
		interval := seconds((0.008 + 0.001*float64(batch)) * (1 + 0.05*rng.NormFloat64()))
		l.observe(interval, DefaultTokenInterval, batch)
		if i == 500 {
			require.Greater(t, l.value, 16.0, "the limit rises within minutes")
		}
		if i >= 10000 && interval <= DefaultTokenInterval {
			within++
		}
	}
	require.InDelta(t, 22, l.value, 4)
	require.Greater(t, within, 9000)
	require.Equal(t, 4, (&limiter{value: 4, ceiling: 4}).limit())
}

// Guards against a stale or unbounded index of a prefix cache. Each script starts
// with 16 blocks in the index; want is the number of cached tokens that it must
// report at the end.
func TestPrefixIndex(t *testing.T) {
	type index = prefixIndex
	hashes := testPrefix(1, 16)
	event := func(sequence int64, kind CacheEventKind, blocks ...uint64) []CacheEvent {
		return []CacheEvent{{Sequence: sequence, Kind: kind, Blocks: blocks}}
	}
	gap := func(x *index) { x.observe(t0.Add(1), event(5, CacheStored, 99)) }
	for name, c := range map[string]struct {
		script func(x *index)
		after  time.Duration
		want   int
	}{
		"kept":            {func(*index) {}, time.Hour, 1024},
		"removed":         {func(x *index) { x.observe(t0, event(2, CacheRemoved, hashes[4:]...)) }, 0, 512},
		"start removed":   {func(x *index) { x.observe(t0, event(2, CacheRemoved, hashes[:1]...)) }, 0, 0},
		"cleared":         {func(x *index) { x.observe(t0, event(2, CacheCleared)) }, 0, 0},
		"gap halves":      {gap, time.Second, 512},
		"gap drops":       {gap, 61 * time.Second, 0},
		"gap, confirmed":  {func(x *index) { gap(x); x.observe(t0.Add(2), event(6, CacheStored, hashes...)) }, time.Second, 1024},
		"gap, dispatched": {func(x *index) { gap(x); x.recordPrompt(t0.Add(2), t0.Add(2), hashes[:3]) }, time.Second, 512},
		"two gaps":        {func(x *index) { gap(x); x.observe(t0.Add(50*time.Second), event(9, CacheStored, 99)) }, 61 * time.Second, 0},
		"repeated event":  {func(x *index) { x.observe(t0, event(1, CacheStored, 99)); x.observe(t0, event(2, CacheStored, 98)) }, time.Second, 1024},
		"restarted":       {func(x *index) { x.observe(t0, event(2, CacheStored, 99)); x.observe(t0, event(1, CacheStored, 98)) }, 0, 0},
		"entry limit":     {func(x *index) { x.setLimit(12); x.recordPrompt(t0, t0, testPrefix(2, 2048)) }, 0, 0},
		"target's cache":  {func(x *index) { x.setCacheBlocks(20); x.recordPrompt(t0, t0, testPrefix(2, 8)) }, 0, 512},
		"many events": {func(x *index) {
			x.setLimit(12)
			x.observe(t0, event(2, CacheStored, 91, 92, 93, 94, 95, 96, 97, 98, 99))
		}, 0, 1024},
		"not computed yet": {func(x *index) { x.clear(); x.recordPrompt(t0, t0.Add(time.Second), hashes) }, 999 * time.Millisecond, 0},
		"computed":         {func(x *index) { x.clear(); x.recordPrompt(t0, t0.Add(time.Second), hashes) }, time.Second, 1024},
		"grant not used":   {func(x *index) { x.recordPrompt(t0.Add(1), t0.Add(1), hashes[3:]); x.undo(t0.Add(1), hashes[3:]) }, 0, 256},
	} {
		shared := make(holders)
		x := newPrefixIndex(&targetState{}, shared)
		x.observe(t0, event(1, CacheStored, 7))
		x.recordPrompt(t0, t0, hashes)
		c.script(x)
		require.Equal(t, c.want, x.match(t0.Add(c.after), hashes), name)
		require.Len(t, shared, len(x.entries), name)
		require.Equal(t, len(x.entries), x.used.Len()+x.announced.Len(), name)
		x.clear()
		require.Empty(t, shared, name)
		require.Zero(t, x.blocks, name)
	}
}

// Guards against prefill of a prompt that another target has cached.
func TestIndexSavesPrefill(t *testing.T) {
	wasted := func(useIndex bool) (tokens int) {
		var targets []Target
		for i := range 12 {
			targets = append(targets, Target{Name: strconv.Itoa(i), Concurrency: 8, PrefillTokensPerSecond: 5000, DecodeTokensPerSecond: 50})
		}
		g := testGroup(GroupConfig{}, targets...)
		rng := rand.New(rand.NewPCG(5, 5))
		caches := make(map[string][]int)
		for n := range 2000 {
			now := t0.Add(time.Duration(n) * 100 * time.Millisecond)
			prompt, cached := rng.IntN(40), 0
			target := g.Submit(now, testTicket(n, func(t *Ticket) {
				t.PromptTokens, t.Deadline = 8192, now.Add(time.Hour)
				if useIndex {
					t.Prefix = testPrefix(uint64(prompt), 128)
				}
			}))[0].(Grant).Target
			// Each target's cache holds 4 of the 40 prompts.
			if slices.Contains(caches[target], prompt) {
				cached = 8192
			}
			others := slices.DeleteFunc(caches[target], func(p int) bool { return p == prompt })
			caches[target] = append(others, prompt)[max(0, len(others)-3):]
			tokens += 8192 - cached
			first := seconds(0.02 + float64(8192-cached)/5000)
			g.Complete(now, Completion{ID: testID(n), Result: ResultServed, PromptTokens: 8192, CachedTokens: cached, OutputTokens: 100, FirstToken: first, Total: first + 2*time.Second})
		}
		return tokens
	}
	with, without := wasted(true), wasted(false)
	t.Logf("prefill not served from a cache: %d tokens with the index, %d without", with, without)
	require.Less(t, with, without/4)
}

// Guards against a long response on a target that is too slow to finish it while
// another target of the group could.
func TestChooseKeepsLongResponsesOffSlowTargets(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	targets := []Target{
		{Name: "fast", Concurrency: 1, PrefillTokensPerSecond: 1e5, DecodeTokensPerSecond: 500},
		{Name: "slow", Concurrency: 8, PrefillTokensPerSecond: 1e5, DecodeTokensPerSecond: 100},
	}
	ticket := func(id uint64, output int) Ticket {
		return Ticket{
			ID: TicketID{Sequence: id}, PromptTokens: 10, OutputTokens: output,
			Deadline: now.Add(time.Second), Finish: now.Add(10 * time.Second),
		}
	}
	granted := func(decisions []Decision) []string {
		var names []string
		for _, d := range decisions {
			if grant, ok := d.(Grant); ok {
				names = append(names, grant.Target)
			}
		}
		return names
	}
	g := NewGroup(GroupConfig{}, rand.New(rand.NewPCG(1, 1)))
	g.SetTargets(now, targets)
	require.Equal(t, []string{"fast"}, granted(g.Submit(now, ticket(1, 2000))))
	require.Empty(t, granted(g.Submit(now, ticket(2, 2000))), "ticket 2 waits for the fast target")
	require.Equal(t, []string{"slow"}, granted(g.Submit(now, ticket(3, 200))))
	require.Equal(t, []string{"slow"}, granted(g.Submit(now, ticket(4, 9000))), "no target finishes ticket 4 in time")
}

// Guards against a group that refuses every request after a slow period: its
// estimates then miss every deadline, and no request runs that would correct them.
func TestIdleTargetIsUsedDespiteSlowEstimates(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 2, PrefillTokensPerSecond: 100_000})
	for range 20 {
		g.targets["x"].speed.observe(t0, Completion{FirstToken: time.Second, Total: 2 * time.Second, PromptTokens: 1}, backlog{}, 1)
	}
	g.set("").updateBounds(t0)
	soon := func(t *Ticket) { t.Deadline = t0.Add(100 * time.Millisecond) }
	decisions := g.Submit(t0, testTicket(1, soon))
	require.Len(t, decisions, 1)
	require.IsType(t, Grant{}, decisions[0])
	decisions = g.Submit(t0, testTicket(2, soon))
	require.Len(t, decisions, 1)
	require.Equal(t, ReasonDeadline, decisions[0].(Refusal).Reason, "one request is enough to correct the estimate")
}
