package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against instances that find each other only with a complete list, and
// against a list that lacks a new instance or still holds a dead one.
func TestStartFromLaggingList(t *testing.T) {
	within(t, 1, func(t *testing.T, f *fleet) {
		f.list = []storage.InstanceRecord{{Name: "instance-000", Address: "10.0.0.1:7000"}, {Name: "gone", Address: "10.9.9.9:7000"}}
		var members []*member
		for i := range 9 {
			members = append(members, f.start(i, 1))
		}
		took, ok := timeUntil(20*time.Second, func() bool { return agree(members) })
		require.True(t, ok)
		t.Log("9 instances agree after", took)
	})
}

// Guards against a crash that is not noticed, a restart that stays dead because
// of its predecessor, and a stale list that revives the crashed instance.
func TestCrashAndRestart(t *testing.T) {
	within(t, 2, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		members[4].stop()
		rest := slices.Delete(slices.Clone(members), 4, 5)
		took, ok := timeUntil(15*time.Second, func() bool { return agree(rest) })
		require.True(t, ok)
		t.Log("crash known everywhere after", took)
		time.Sleep(time.Minute)
		require.True(t, agree(rest), "the list still holds the dead instance")
		members[4] = f.start(4, 2)
		again := members
		took, ok = timeUntil(10*time.Second, func() bool { return agree(again) })
		require.True(t, ok)
		t.Log("restart known everywhere after", took)
		for _, m := range again {
			require.Equal(t, uint64(2), m.get("instance-004").Incarnation)
		}
	})
}

// Guards against a paused instance that loses its keys for good, and against
// one lost connection that makes an instance suspect.
func TestPauseAndIndirectProbe(t *testing.T) {
	within(t, 3, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		f.locked(func() { members[2].cutIt = true })
		_, ok := timeUntil(20*time.Second, func() bool { return len(members[0].Live()) == 8 })
		require.True(t, ok)
		f.locked(func() { members[2].cutIt = false })
		took, ok := timeUntil(20*time.Second, func() bool { return agree(members) })
		require.True(t, ok)
		t.Log("refuted everywhere after", took)
		time.Sleep(20 * time.Second) // the resumed instance's own suspicions are refuted
		members[0].checkFailed(t.Context(), members[1].self, errLink)
		require.Equal(t, StateLive, members[0].get(members[1].self.Name).State, "two other instances reach it")
	})
}

// Guards against a reported instance that keeps its keys for seconds although no
// probe reaches it, and against one that loses them although a probe does.
func TestReportedInstanceLosesItsKeys(t *testing.T) {
	within(t, 4, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		key := "pool/0"
		owner, _ := members[0].Owner(key, "")
		members[0].ReportFailure(owner.Name)
		time.Sleep(2 * time.Second)
		kept, _ := members[0].Owner(key, "")
		require.Equal(t, owner, kept, "it answers")

		var reporter *member
		f.locked(func() { f.members[owner.Address].cutIt = true })
		for _, m := range members {
			if m.self.Name != owner.Name {
				reporter = m
			}
		}
		reporter.ReportFailure(owner.Name)
		took, ok := timeUntil(20*time.Second, func() bool {
			for _, m := range members {
				if now, _ := m.Owner(key, ""); now.Name == owner.Name && m.self.Name != owner.Name {
					return false
				}
			}
			return true
		})
		require.True(t, ok)
		require.Less(t, took, MinSuspectTimeout)
		t.Log("successor known everywhere after", took)
	})
}

// Guards against an instance that started before the list showed the others and
// serves alone until the next regular read of the list.
func TestLoneInstanceReadsListOften(t *testing.T) {
	within(t, 5, func(t *testing.T, f *fleet) {
		members := []*member{f.start(0, 1), f.start(1, 1)}
		time.Sleep(500 * time.Millisecond)
		f.locked(func() {
			f.list = []storage.InstanceRecord{{Name: members[0].self.Name, Address: members[0].self.Address}}
		})
		took, ok := timeUntil(20*time.Second, func() bool { return agree(members) })
		require.True(t, ok)
		require.Less(t, took, 4*time.Second)
	})
}

// Guards against urgent facts that reach an instance later than 2 s, at the
// present and the planned size of the fleet, also with messages lost.
func TestUrgentFactsSpread(t *testing.T) {
	for _, n := range []int{9, 50, 440} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			within(t, uint64(n), func(t *testing.T, f *fleet) {
				members := f.startAll(n)
				f.locked(func() { f.loss = 0.02 })
				time.Sleep(2 * time.Second)
				sub := members[n-1].Subscribe()
				applied := f.applyGenerations(members)
				members[0].AddLeaving(Leaving{"worker", 3})
				members[1].AddStop(Stop{StopKey{"move", 3}, "errors"})
				members[2].AddQuarantine(Quarantine{Fingerprint: 5, Expires: time.Now().Add(time.Minute)})
				members[3].SetGeneration(9, "hash")
				members[4].Leave(t.Context())
				took, ok := timeUntil(2*time.Second, func() bool {
					for _, m := range members {
						s := m.Facts()
						if len(s.Leaving)*len(s.Stops)*len(s.Quarantine) != 1 || len(m.Live()) != n-1 {
							return false
						}
					}
					return applied.Load() >= int64(n-1)
				})
				require.True(t, ok)
				t.Log("all facts everywhere after", took)
				require.Len(t, <-sub.View, n-1)
				require.NotEmpty(t, (<-sub.Facts).Leaving)
				known := <-sub.Generation
				require.Equal(t, int64(9), known.Generation)
				require.Equal(t, "hash", known.Hash)
			})
		})
	}
}

// Guards against a fact that never reaches an instance which was away while it
// spread, and against evidence that is not exchanged.
func TestFactsReachLateInstance(t *testing.T) {
	within(t, 5, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		members[0].AddStop(Stop{StopKey{"move", 3}, "errors"})
		time.Sleep(time.Minute)
		members = append(members, f.start(9, 1))
		window := time.Now().UnixNano() / int64(EvidenceWindow)
		members[9].AddEvidence(Evidence{EvidenceKey: EvidenceKey{"move", "v2", "instance-009", 1, window}, Requests: 3})
		_, ok := timeUntil(20*time.Second, func() bool {
			return len(members[9].Facts().Stops) == 1 && len(members[0].Facts().Evidence) == 1
		})
		require.True(t, ok)
	})
}

// Guards against regions that do not find each other again after an hour, with
// the list unavailable, against a stampede at the heal, and against instances
// that lose peers of their own region because the other side took them for dead.
func TestRegionCutForAnHour(t *testing.T) {
	within(t, 6, func(t *testing.T, f *fleet) {
		const n = 24
		members := f.startAll(n)
		f.locked(func() { f.list = nil })
		time.Sleep(time.Minute) // so that the addresses are known from the views alone
		f.locked(func() { f.cut, f.listErr = true, errors.New("list down") })
		time.Sleep(time.Hour)
		for _, m := range members {
			require.Len(t, m.Live(), n/2)
			owner, _ := m.Owner("pool", "")
			require.Equal(t, m.self.Region, owner.Region)
		}
		members[0].AddStop(Stop{StopKey{"move", 3}, "errors"})
		members[3].Leave(t.Context())
		time.Sleep(time.Minute)
		f.locked(func() {
			f.cut = false
			clear(f.crossings)
		})
		lowest := n
		took, ok := timeUntil(2*time.Minute, func() bool {
			all := true
			for i, m := range members {
				own := len(m.Live())
				lowest = min(lowest, own)
				all = all && (own == n-1 || i == 3) && len(m.Facts().Stops) == 1
			}
			return all
		})
		require.True(t, ok)
		require.Equal(t, n/2-1, lowest, "no instance of the own region is lost")
		most := 0
		f.locked(func() {
			for _, requests := range f.crossings {
				most = max(most, requests)
			}
		})
		require.Less(t, most, 2*n, "requests over the link in one second")
		t.Log("healed after", took, "most requests a second over the link", most)
	})
}

// Guards against live views that differ for ever after loss, crashes, restarts
// and cuts in any order.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		within(t, seed, func(t *testing.T, f *fleet) {
			members := f.startAll(7)
			rng := rand.New(rand.NewPCG(seed, 3))
			f.locked(func() { f.loss = rng.Float64() / 2 })
			for step := range 8 {
				i := rng.IntN(len(members))
				switch rng.IntN(4) {
				case 0:
					members[i].stop()
					members[i] = f.start(i, uint64(step+2))
				case 1:
					f.locked(func() { f.cut = !f.cut })
				case 2:
					f.locked(func() { members[i].cutIt = !members[i].cutIt })
				case 3:
					members[i].AddLeaving(Leaving{fmt.Sprint("worker", step), int64(step)})
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
			}
			f.locked(func() {
				f.loss, f.cut = 0, false
				for _, m := range members {
					m.cutIt = false
				}
			})
			_, ok := timeUntil(3*time.Minute, func() bool {
				for _, m := range members {
					if m.stateHash() != members[0].stateHash() {
						return false
					}
				}
				return agree(members)
			})
			require.True(t, ok, "seed %d", seed)
		})
	})
}

// Guards against a view that was changed by a message without a valid record,
// and an answer at a reused address that counts for the former instance.
func TestMalformedAndMisdirected(t *testing.T) {
	within(t, 8, func(t *testing.T, f *fleet) {
		m := f.start(0, 1)
		ctx := context.Background()
		live := pb.InstanceState_INSTANCE_STATE_LIVE
		_, err := m.Handle(ctx, &pb.ExchangeRequest{Members: []*pb.Member{nil, {Name: "x", State: live}, {Incarnation: 1, State: live}, {Name: "x", Incarnation: 1}}})
		require.NoError(t, err)
		require.Len(t, m.Live(), 1)
		other := f.start(1, 1)
		wrong := Instance{Name: "former", Address: other.self.Address}
		_, err = m.send(ctx, wrong, m.request("former", 0), CallTimeout)
		require.ErrorIs(t, err, errOtherInstance)
		require.Len(t, m.Live(), 2, "the new instance is learnt")
	})
}
