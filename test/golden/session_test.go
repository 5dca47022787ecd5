package golden

import (
	"bytes"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/claims"
	"github.com/basilloom/basilloom/config"
	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/fault"
	"github.com/basilloom/basilloom/internal/standin/memtable"
	"github.com/basilloom/basilloom/scheduler"
)

// tickPeriod is the period of the groups' ticks.
const tickPeriod = 100 * time.Millisecond

// session is one recorded session: one entry, the real group of each pool, and
// targets that run requests at their configured speed.
type session struct {
	t          *testing.T
	deployment deployment
	ctx        context.Context
	cancel     context.CancelFunc
	text       bytes.Buffer
	start      time.Time
	events     events
	sequence   int
	table      *memtable.Table
	claims     *claims.Store
	snapshot   *config.Snapshot
	groups     map[string]*scheduler.Group
	targets    map[string]*target
	calls      map[scheduler.TicketID]*call
}

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newSession(t *testing.T, d deployment) *session {
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{
		t: t, deployment: d, ctx: ctx, cancel: cancel, start: time.Now(),
		table:   memtable.New(fault.Settings{Unlimited: true}),
		groups:  make(map[string]*scheduler.Group),
		targets: make(map[string]*target),
		calls:   make(map[scheduler.TicketID]*call),
	}
	s.claims = claims.NewStore(s.table, "entry")
	return s
}

// applyConfig puts a configuration in force and starts the groups.
func (s *session) applyConfig(generation int64, c *pb.Config) {
	s.snapshot = config.NewSnapshot(generation, "", c)
	for i, pool := range c.GetPools() {
		name := pool.GetName()
		if s.groups[name] == nil {
			s.groups[name] = scheduler.NewGroup(s.groupConfig(pool), rand.New(rand.NewPCG(1, uint64(i))))
		}
		s.handleDecisions(s.groups[name].SetTargets(time.Now(), s.groupTargets(pool)))
	}
}

// groupConfig mirrors package daemon, except for a short queue that the overload
// of a session can fill. As there, a group may use half of a link's bandwidth, hence
// the 16 bits for each byte.
func (s *session) groupConfig(pool *pb.Pool) scheduler.GroupConfig {
	cfg := scheduler.GroupConfig{Pool: pool.GetName(), QueueLimit: 20, Links: make(map[scheduler.RegionPair]scheduler.Link)}
	for _, l := range s.snapshot.Config().GetLinks() {
		link := scheduler.Link{
			BytesPerSecond:   float64(l.GetBitsPerSecond()) / 16,
			Delay:            l.GetOneWayDelay().AsDuration(),
			PricePerMegabyte: time.Duration(l.GetPriceSecondsPerMebibyte() * float64(time.Second)),
		}
		cfg.Links[scheduler.RegionPair{From: l.GetFromRegion(), To: l.GetToRegion()}] = link
		cfg.Links[scheduler.RegionPair{From: l.GetToRegion(), To: l.GetFromRegion()}] = link
	}
	return cfg
}

func (s *session) groupTargets(pool *pb.Pool) []scheduler.Target {
	var all []scheduler.Target
	for _, t := range s.snapshot.TargetsOf(pool.GetName()) {
		if s.targets[t.GetName()] == nil {
			s.targets[t.GetName()] = &target{name: t.GetName(), up: true}
		}
		s.targets[t.GetName()].settings = t
		all = append(all, scheduler.Target{
			Name: t.GetName(), Region: t.GetRegion(), Zone: t.GetZone(), Versions: t.GetVersions(),
			Concurrency: int(t.GetConcurrency()), PrefillTokensPerSecond: t.GetPrefillTokensPerSecond(),
			DecodeTokensPerSecond: t.GetDecodeTokensPerSecond(), Leaving: t.GetLeaving(),
			Service: pool.GetKind() == pb.PoolKind_POOL_KIND_SERVICE,
		})
	}
	return all
}

// section writes a heading.
func (s *session) section(format string, args ...any) {
	fmt.Fprintf(&s.text, "\n== %s\n", fmt.Sprintf(format, args...))
}

// writeLine writes one line that starts with the elapsed time of the session.
func (s *session) writeLine(format string, args ...any) {
	at := time.Since(s.start).Truncate(time.Millisecond)
	fmt.Fprintf(&s.text, "%02d:%02d:%06.3f  %s\n", int(at.Hours()), int(at.Minutes())%60,
		(at % time.Minute).Seconds(), fmt.Sprintf(format, args...))
}

func (s *session) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: time.Now().Add(d), sequence: s.sequence, run: run})
}

// advance runs the events of the next d and the groups' ticks between them.
func (s *session) advance(d time.Duration) {
	end := time.Now().Add(d)
	for tick := time.Now().Add(tickPeriod); ; tick = tick.Add(tickPeriod) {
		s.runUntil(earlier(tick, end))
		if !tick.Before(end) {
			return
		}
		for _, pool := range s.snapshot.Config().GetPools() {
			s.handleDecisions(s.groups[pool.GetName()].Tick(time.Now()))
		}
	}
}

func (s *session) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		time.Sleep(time.Until(e.at))
		e.run()
	}
	time.Sleep(time.Until(end))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *session) require(err error) { require.NoError(s.t, err) }
