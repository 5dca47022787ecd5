package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const (
	benchTiers      = 5
	benchWorkspaces = 990
)

func benchGroup(now time.Time, targets, concurrency int) *Group {
	g := NewGroup(GroupConfig{Pool: "bench"}, rand.New(rand.NewPCG(1, 2)))
	list := make([]Target, targets)
	for i := range list {
		list[i] = Target{
			Name: "t" + strconv.Itoa(i), Region: "r" + strconv.Itoa(i%2), Concurrency: concurrency,
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 50,
		}
	}
	g.SetTargets(now, list)
	return g
}

func benchTicket(now time.Time, n uint64) Ticket {
	prefix := make([]uint64, 6)
	for i := range prefix {
		prefix[i] = (n%500)*100 + uint64(i) + 1
	}
	return Ticket{
		ID:        TicketID{Instance: "i" + strconv.Itoa(int(n%9)), Sequence: n},
		Workspace: "w" + strconv.Itoa(int(n%benchWorkspaces)), Tier: Rank(n % benchTiers),
		PromptTokens: 100 + int(n%97)*100, OutputTokens: 200, Prefix: prefix, Region: "r0",
		Deadline: now.Add(time.Hour), Fingerprint: n,
	}
}

// Measures one Submit, the Grant it or an earlier ticket gets, and one Complete,
// with an empty queue and with a full one.
func BenchmarkSubmitGrantComplete(b *testing.B) {
	for _, targets := range []int{12, 1100} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/full=%t", targets, full), func(b *testing.B) {
				benchCycle(b, targets, full)
			})
		}
	}
}

func benchCycle(b *testing.B, targets int, full bool) {
	now := time.Unix(1000, 0)
	g := benchGroup(now, targets, 8)
	var running []TicketID
	var n uint64
	collect := func(decisions []Decision) {
		for _, d := range decisions {
			if grant, ok := d.(Grant); ok {
				running = append(running, grant.Ticket)
			}
		}
	}
	fill := targets * 4
	if full {
		fill = targets*8 + DefaultQueueLimit
	}
	for range fill {
		n++
		collect(g.Submit(now, benchTicket(now, n)))
	}
	tickets := make([]Ticket, 4096)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%len(tickets) == 0 {
			b.StopTimer()
			for j := range tickets {
				n++
				tickets[j] = benchTicket(now, n)
			}
			b.StartTimer()
		}
		now = now.Add(time.Millisecond)
		collect(g.Submit(now, tickets[i%len(tickets)]))
		id := running[0]
		running = running[1:]
		collect(g.Complete(now, Completion{
			ID: id, Result: ResultServed, PromptTokens: 1000, OutputTokens: 200,
			FirstToken: 200 * time.Millisecond, Total: 4200 * time.Millisecond,
		}))
	}
}
