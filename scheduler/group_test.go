package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a grant beyond a target's concurrency.
func TestGroupRespectsConcurrency(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGroup(GroupConfig{Pool: "p"}, rand.New(rand.NewPCG(1, 1)))
	g.SetTargets(now, []Target{{Name: "a", Concurrency: 1}})
	first := g.Submit(now, Ticket{ID: TicketID{Sequence: 1}, Deadline: now.Add(time.Second)})
	second := g.Submit(now, Ticket{ID: TicketID{Sequence: 2}, Deadline: now.Add(time.Second)})
	require.Len(t, first, 1)
	require.Empty(t, second)
	third := g.Complete(now, Completion{ID: TicketID{Sequence: 1}, Result: ResultServed})
	require.Equal(t, TicketID{Sequence: 2}, third[0].(Grant).Ticket)
}

// t0 is the time at which tests start.
var t0 = time.Unix(1000, 0)

func testGroup(cfg GroupConfig, targets ...Target) *Group {
	g := NewGroup(cfg, rand.New(rand.NewPCG(1, 1)))
	g.SetTargets(t0, targets)
	return g
}

func testID(n int) TicketID { return TicketID{Instance: "i", Incarnation: 1, Sequence: uint64(n)} }

// testTicket returns a ticket that has a minute until its deadline.
func testTicket(n int, change func(*Ticket)) Ticket {
	t := Ticket{
		ID: testID(n), Workspace: "w", Region: "r", PromptTokens: 100, OutputTokens: 100,
		Deadline: t0.Add(time.Minute), Fingerprint: uint64(n), Idempotent: true,
	}
	if change != nil {
		change(&t)
	}
	return t
}

func onTier(tier Rank) func(*Ticket) { return func(t *Ticket) { t.Tier = tier } }

func served(n int) Completion { return Completion{ID: testID(n), Result: ResultServed} }

// drain completes the running tickets one by one and returns the order of the grants.
func drain(g *Group, decisions []Decision) (order []int) {
	for len(decisions) > 0 {
		n := int(decisions[0].(Grant).Ticket.Sequence)
		order = append(order, n)
		decisions = append(decisions[1:], g.Complete(t0, served(n))...)
	}
	return order
}

// Guards against a lower tier that is served first, and against a workspace
// with many or long requests that starves another.
func TestOrderOfGrants(t *testing.T) {
	ws := func(name string, weight float64, tokens int) func(*Ticket) {
		return func(t *Ticket) { t.Workspace, t.Weight, t.PromptTokens, t.OutputTokens = name, weight, tokens, 0 }
	}
	for name, c := range map[string]struct {
		tickets []func(*Ticket)
		want    []int
	}{
		"tiers":       {[]func(*Ticket){onTier(2), onTier(0), onTier(1), onTier(0)}, []int{1, 3, 2, 0}},
		"equal share": {[]func(*Ticket){ws("a", 1, 10), ws("a", 1, 10), ws("a", 1, 10), ws("b", 1, 10)}, []int{0, 3, 1, 2}},
		"token cost":  {[]func(*Ticket){ws("a", 1, 1000), ws("a", 1, 1000), ws("b", 1, 400), ws("b", 1, 400), ws("b", 1, 400)}, []int{0, 2, 3, 4, 1}},
		"weights":     {[]func(*Ticket){ws("a", 1, 10), ws("a", 1, 10), ws("b", 3, 10), ws("b", 3, 10), ws("b", 3, 10)}, []int{0, 2, 3, 4, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 1})
			first := g.Submit(t0, testTicket(99, func(t *Ticket) { t.Workspace = "first" }))
			require.Len(t, first, 1)
			for i, change := range c.tickets {
				require.Empty(t, g.Submit(t0, testTicket(i, change)))
			}
			require.Equal(t, c.want, drain(g, first)[1:])
		})
	}
	g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 1})
	first := g.Submit(t0, testTicket(99, func(t *Ticket) { t.Workspace = "first" }))
	g.Submit(t0, testTicket(3, ws("c", 1, 10)))
	g.Submit(t0, testTicket(0, ws("a", 1, 10000)))
	g.Withdraw(t0, testID(0))
	g.Submit(t0, testTicket(1, ws("a", 1, 10)))
	g.Submit(t0, testTicket(2, ws("b", 1, 10)))
	require.Equal(t, []int{3, 1, 2}, drain(g, first)[1:], "a withdrawn ticket costs no share")

	g = testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 1})
	g.Submit(t0, testTicket(99, func(t *Ticket) { t.Workspace = "first" }))
	for i := range 5 {
		g.Submit(t0, testTicket(i, ws("a", 1, 10)))
	}
	for _, n := range []int{99, 0, 1} {
		first = g.Complete(t0, served(n))
	}
	for i := 10; i < 13; i++ {
		g.Submit(t0, testTicket(i, ws("b", 1, 10)))
	}
	require.Equal(t, []int{2, 10, 3, 11, 4, 12}, drain(g, first), "an idle workspace accumulates no share")
}

// Guards against shedding anything but the newest ticket of the lowest tier.
func TestFullQueueSheds(t *testing.T) {
	for name, c := range map[string]struct {
		waiting []Rank
		arrives Rank
		want    int
	}{
		"lowest newest":     {[]Rank{0, 2, 2, 1}, 0, 2},
		"the new ticket":    {[]Rank{0, 0, 1, 1}, 3, 4},
		"equal tier is new": {[]Rank{1, 1, 1, 1}, 1, 4},
		"a single lower":    {[]Rank{1, 0, 0, 0}, 0, 0},
	} {
		g := testGroup(GroupConfig{QueueLimit: len(c.waiting)}, Target{Name: "x", Concurrency: 1})
		g.Submit(t0, testTicket(99, nil))
		for i, tier := range c.waiting {
			require.Empty(t, g.Submit(t0, testTicket(i, onTier(tier))), name)
		}
		decisions := g.Submit(t0, testTicket(len(c.waiting), onTier(c.arrives)))
		require.Len(t, decisions, 1, name)
		refusal := decisions[0].(Refusal)
		require.Equal(t, testID(c.want), refusal.Ticket, name)
		require.Equal(t, ReasonQueueFull, refusal.Reason, name)
		require.GreaterOrEqual(t, refusal.RetryAfter, time.Second, "5 tickets of about 1 s each are ahead")
	}
}

// Guards against counts that leak or become negative when messages are lost,
// repeated or late. After each script, running is the number of slots in use.
func TestCountsWithLostAndLateMessages(t *testing.T) {
	late := t0.Add(GrantValidity + time.Millisecond)
	tick := func(now time.Time) func(*Group) { return func(g *Group) { g.Tick(now) } }
	submit := func(n int) func(*Group) { return func(g *Group) { g.Submit(t0, testTicket(n, nil)) } }
	adopt := func(n int) func(*Group) {
		return func(g *Group) { g.Adopt(t0, testTicket(n, nil), "x", time.Second) }
	}
	dispatched := func(g *Group) { g.Dispatched(t0, testID(1)) }
	complete := func(g *Group) { g.Complete(t0, served(1)) }
	expire, minute := tick(late), tick(t0.Add(time.Minute))
	disconnect := func(g *Group) { g.EntryDisconnected(t0, "i", 1) }
	reconnect := func(g *Group) { g.EntryReconnected(t0, "i", 1) }
	remove := func(g *Group) { g.SetTargets(t0, nil) }
	restore := func(g *Group) { g.SetTargets(t0, []Target{{Name: "x", Concurrency: 2}}) }
	for name, c := range map[string]struct {
		script  []func(*Group)
		running int
	}{
		"submitted twice":                 {[]func(*Group){submit(1)}, 1},
		"unused grant":                    {[]func(*Group){expire}, 0},
		"used grant":                      {[]func(*Group){dispatched, expire}, 1},
		"completion after reclaim":        {[]func(*Group){expire, complete}, 0},
		"dispatched after reclaim":        {[]func(*Group){expire, dispatched}, 1},
		"both after reclaim":              {[]func(*Group){expire, complete, dispatched}, 0},
		"completed twice":                 {[]func(*Group){complete, complete}, 0},
		"submitted after reclaim":         {[]func(*Group){expire, submit(1)}, 1},
		"entry disconnected, unused":      {[]func(*Group){disconnect}, 0},
		"entry disconnected, then adopts": {[]func(*Group){dispatched, disconnect, adopt(1), minute}, 1},
		"entry disconnected for a minute": {[]func(*Group){dispatched, disconnect, minute}, 0},
		"entry reconnected without it":    {[]func(*Group){dispatched, disconnect, reconnect}, 0},
		"entry reconnected with it":       {[]func(*Group){dispatched, disconnect, adopt(1), reconnect, minute}, 1},
		"entry restarted":                 {[]func(*Group){dispatched, func(g *Group) { g.EntryRestarted(t0, "i", 2) }}, 0},
		"earlier process connects late":   {[]func(*Group){dispatched, func(g *Group) { g.EntryRestarted(t0, "i", 1) }}, 1},
		"other incarnation disconnected":  {[]func(*Group){func(g *Group) { g.EntryDisconnected(t0, "i", 2) }}, 1},
		"adopted":                         {[]func(*Group){adopt(2), expire}, 1},
		"adopted while waiting":           {[]func(*Group){submit(2), submit(3), adopt(3)}, 3},
		"target removed and restored":     {[]func(*Group){remove, restore}, 1},
		"dispatched, target removed":      {[]func(*Group){expire, remove, dispatched, restore}, 1},
	} {
		g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 2})
		require.Len(t, g.Submit(t0, testTicket(1, nil)), 1, name)
		for _, step := range c.script {
			step(g)
		}
		require.Equal(t, c.running, g.Snapshot()[0].Running, name)
		require.Len(t, g.running, c.running, name)
		for id := range g.running {
			g.Complete(late, Completion{ID: id, Result: ResultServed})
		}
		require.Zero(t, g.Snapshot()[0].Running, name)
	}
}

// Guards against prefill spent on a ticket that cannot meet its deadline, and
// against refusals that rest on default or outdated speeds.
func TestDeadlineRefusals(t *testing.T) {
	slow := Target{Name: "x", Concurrency: 1, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50}
	long := func(t *Ticket) { t.PromptTokens, t.Deadline = 10000, t0.Add(2*time.Second) }
	short := func(t *Ticket) { t.Deadline = t0.Add(2 * time.Second) }
	versioned := func(t *Ticket) { t.Version, t.Deadline = "v2", t0.Add(2*time.Second) }
	for name, c := range map[string]struct {
		target Target
		ticket func(*Ticket)
		busy   bool
		submit time.Duration
		after  time.Duration
		want   string
	}{
		"cannot be met":          {target: slow, ticket: long, want: "deadline"},
		"can be met":             {target: slow, ticket: short, want: "granted"},
		"unknown speed":          {target: Target{Name: "x"}, ticket: long, want: "granted"},
		"outdated speed":         {target: slow, ticket: func(t *Ticket) { long(t); t.Deadline = t0.Add(2*time.Minute + 2*time.Second) }, submit: 2 * time.Minute, want: "granted"},
		"no longer after a wait": {target: slow, ticket: short, busy: true, after: 1950 * time.Millisecond, want: "deadline"},
		"still in the queue":     {target: slow, ticket: short, busy: true, after: 1500 * time.Millisecond},
		"no version yet":         {target: slow, ticket: versioned, after: 1990 * time.Millisecond},
		"no version":             {target: slow, ticket: versioned, after: 2001 * time.Millisecond, want: "no_target"},
	} {
		g := testGroup(GroupConfig{}, c.target)
		if c.busy {
			g.Submit(t0, testTicket(1, nil))
			g.Dispatched(t0, testID(1))
		}
		decisions := g.Submit(t0.Add(c.submit), testTicket(2, c.ticket))
		decisions = append(decisions, g.Tick(t0.Add(c.submit+c.after))...)
		got := ""
		for _, d := range decisions {
			if refusal, ok := d.(Refusal); ok {
				got = string(refusal.Reason)
				require.Positive(t, refusal.RetryAfter, name)
			} else {
				got = "granted"
			}
		}
		require.Equal(t, c.want, got, name)
	}
}

// Guards against a lower tier that lengthens the wait of a higher ticket whose
// deadline leaves no time for further prompts before it.
func TestDelayedTicketHoldsLowerTiers(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "x", PrefillTokensPerSecond: 1000})
	require.Len(t, g.Submit(t0, testTicket(1, func(t *Ticket) { t.PromptTokens = 90 })), 1)
	require.Empty(t, g.Submit(t0, testTicket(2, func(t *Ticket) { t.PromptTokens, t.Deadline = 500, t0.Add(560*time.Millisecond) })))
	require.Empty(t, g.Submit(t0, testTicket(3, onTier(1))))
	early := g.Complete(t0.Add(20*time.Millisecond), served(1))
	require.Len(t, early, 1)
	require.Equal(t, testID(2), early[0].(Grant).Ticket)
	require.Len(t, g.Tick(t0.Add(500*time.Millisecond)), 1)
}

// Guards against prompts of a lower tier that wait in the target's queue, where
// a higher tier cannot overtake them.
func TestPromptsWaitInTheGroupQueue(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "x", PrefillTokensPerSecond: 1000})
	long := func(t *Ticket) { t.Tier, t.PromptTokens = 1, 1000 }
	require.Len(t, g.Submit(t0, testTicket(1, long)), 1)
	require.Empty(t, g.Submit(t0, testTicket(2, long)))
	require.Empty(t, g.Submit(t0.Add(500*time.Millisecond), testTicket(3, nil)))
	require.Empty(t, g.Tick(t0.Add(850*time.Millisecond)))
	decisions := g.Tick(t0.Add(950 * time.Millisecond))
	require.Equal(t, testID(3), decisions[0].(Grant).Ticket)
}

// Guards against a request of a strict tier on a target that would exceed its time
// between tokens, against a lower tier that is held up meanwhile, and against a
// wait beyond the deadline or for a speed that no target has.
func TestTicketWaitsForTokenInterval(t *testing.T) {
	cfg := GroupConfig{TierIntervals: map[Rank]time.Duration{0: 32 * time.Millisecond}}
	soon := func(t *Ticket) { t.Deadline = t0.Add(2 * time.Second) }
	fast := Target{Name: "fast", Concurrency: 1, DecodeTokensPerSecond: 100}
	slow := Target{Name: "slow", Concurrency: 4, DecodeTokensPerSecond: 25}
	g := testGroup(cfg, fast, slow)
	first := g.Submit(t0, testTicket(1, soon))
	require.Equal(t, "fast", first[0].(Grant).Target)
	require.Empty(t, g.Submit(t0, testTicket(2, soon)))
	lower := g.Submit(t0, testTicket(3, onTier(1)))
	require.Equal(t, "slow", lower[0].(Grant).Target)
	require.Empty(t, g.Tick(t0.Add(time.Second)))
	late := g.Tick(t0.Add(1600 * time.Millisecond))
	require.Equal(t, "slow", late[0].(Grant).Target)

	g = testGroup(cfg, slow)
	require.Len(t, g.Submit(t0, testTicket(1, soon)), 1, "no target meets the interval")

	g = testGroup(cfg, fast, slow)
	g.Submit(t0, testTicket(1, soon))
	g.queue.tier(0).lastRefused = t0
	require.Len(t, g.Submit(t0, testTicket(2, soon)), 1, "the tier needs every slot")
}

// Guards against a ticket that waits until its deadline for a target that it excluded for
// a shorter time.
func TestExcludedTargetIsUsedAfterItsTime(t *testing.T) {
	g := testGroup(GroupConfig{}, Target{Name: "x", Concurrency: 4, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50})
	until := t0.Add(time.Second)
	require.Empty(t, g.Submit(t0, testTicket(1, func(t *Ticket) {
		t.Deadline, t.Excluded = t0.Add(5*time.Second), []Exclusion{{Target: "x", Until: until}}
	})))
	require.Empty(t, g.Tick(until.Add(-time.Millisecond)))
	require.Equal(t, "x", g.Tick(until)[0].(Grant).Target)
}

// Guards against a cancellation that does not help a higher ticket, and against
// cancelling a request other than the newest of the lowest tier.
func TestCancellationIsTheLastResort(t *testing.T) {
	running := func(n int, tier Rank, cancellable bool) Ticket {
		return testTicket(n, func(t *Ticket) { t.Tier, t.Cancellable = tier, cancellable })
	}
	group := func(limit int) *Group {
		g := testGroup(GroupConfig{QueueLimit: limit}, Target{Name: "x", Concurrency: 4, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 50})
		for i, r := range []Ticket{running(1, 2, true), running(2, 3, true), running(3, 3, true), running(4, 4, false)} {
			// The submissions are far enough apart that each prompt is processed
			// before the next.
			require.Len(t, g.Submit(t0.Add(time.Duration(i-4)*200*time.Millisecond), r), 1, "ticket %d", i)
			g.Dispatched(t0, r.ID)
		}
		return g
	}
	soon := func(tier Rank) func(*Ticket) {
		return func(t *Ticket) { t.Tier, t.Deadline = tier, t0.Add(2*time.Second) }
	}
	t.Run("before a missed deadline", func(t *testing.T) {
		g := group(10)
		require.Empty(t, g.Submit(t0, testTicket(10, soon(0))))
		require.Empty(t, g.Tick(t0.Add(time.Second)), "there is time to wait for a free slot")
		late := t0.Add(1750 * time.Millisecond)
		require.Equal(t, []Decision{Cancellation{testID(3), ReasonHigherTier}}, g.Tick(late))
		require.Empty(t, g.Tick(late.Add(20*time.Millisecond)), "one cancellation per ticket")
		freed := g.Complete(late.Add(30*time.Millisecond), Completion{ID: testID(3), Result: ResultCancelled})
		require.Equal(t, testID(10), freed[0].(Grant).Ticket)

		g = group(10)
		g.Submit(t0, testTicket(10, soon(3)))
		require.Empty(t, g.Tick(late), "not for an equal or lower tier")
		require.IsType(t, Refusal{}, g.Tick(late.Add(200 * time.Millisecond))[0])
	})
	t.Run("not on an excluded target", func(t *testing.T) {
		g := group(10)
		require.Empty(t, g.Submit(t0, testTicket(10, func(t *Ticket) {
			soon(0)(t)
			t.Excluded = []Exclusion{{Target: "x", Until: t0.Add(time.Minute)}}
		})))
		for _, d := range g.Tick(t0.Add(1750 * time.Millisecond)) {
			require.IsType(t, Refusal{}, d)
		}
	})
	t.Run("before a full queue sheds", func(t *testing.T) {
		g := group(1)
		require.Empty(t, g.Submit(t0, testTicket(10, onTier(2))))
		require.Equal(t, []Decision{Cancellation{testID(3), ReasonHigherTier}}, g.Submit(t0, testTicket(11, onTier(2))))
		require.Equal(t, []Decision{Cancellation{testID(2), ReasonHigherTier}}, g.Submit(t0, testTicket(12, onTier(2))))
		require.IsType(t, Refusal{}, g.Submit(t0, testTicket(13, onTier(2)))[0], "tier 2 is not cancelled for tier 2")
	})
}

// Guards against reports that erase later grants, and against missed external load.
func TestLoadReports(t *testing.T) {
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		asOf, running, waiting, want int
	}{
		"older than both grants":    {-1000, 0, 0, 2},
		"between, sees first":       {500, 1, 0, 2},
		"between, external load":    {500, 3, 1, 5},
		"after both":                {2000, 2, 0, 2},
		"after both, external load": {2000, 5, 0, 5},
		"an end in transit":         {2050, 2, 0, 1},
		"second in transit":         {1050, 1, 0, 2},
	} {
		g := testGroup(GroupConfig{}, Target{Name: "x"})
		g.Submit(at(0), testTicket(1, nil))
		g.Submit(at(1000), testTicket(2, nil))
		if name == "an end in transit" {
			g.Complete(at(2000), ended(1, ResultServed))
		}
		g.ObserveLoad(at(2100), LoadReport{Target: "x", AsOf: at(c.asOf), Running: c.running, Waiting: c.waiting})
		require.Equal(t, c.want, g.targets["x"].load(at(2100)), name)
	}
}
