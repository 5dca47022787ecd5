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

// Guards against instances that find each other only if the list is complete. The
// list here lacks new instances and still contains a crashed one.
func TestStartFromLaggingList(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *fleet) {
		f.list = []storage.InstanceRecord{{Name: "instance-000", Address: "10.0.0.1:7000"}, {Name: "crashed", Address: "10.9.9.9:7000"}}
		var members []*member
		for i := range 9 {
			members = append(members, f.start(i, 1))
		}
		took, ok := timeUntil(20*time.Second, func() bool { return allLive(members) })
		require.True(t, ok)
		t.Log("9 instances see each other after", took)
	})
}

// Guards against a crash that is not detected, a restarted instance that remains
// dead because its previous incarnation is dead, and a stale list that makes the
// crashed instance live again.
func TestCrashAndRestart(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		members[4].stop()
		rest := slices.Delete(slices.Clone(members), 4, 5)
		took, ok := timeUntil(15*time.Second, func() bool { return allLive(rest) })
		require.True(t, ok)
		t.Log("all instances detected the crash after", took)
		time.Sleep(time.Minute)
		require.True(t, allLive(rest), "the list still contains the crashed instance")
		members[4] = f.start(4, 2)
		restarted := members
		took, ok = timeUntil(10*time.Second, func() bool { return allLive(restarted) })
		require.True(t, ok)
		t.Log("all instances detected the restart after", took)
		for _, m := range restarted {
			require.Equal(t, uint64(2), m.get("instance-004").Incarnation)
		}
	})
}

// Guards against a paused instance that loses its keys permanently, and against
// an instance that becomes a suspect because of one lost connection.
func TestPauseAndIndirectProbe(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		f.locked(func() { members[2].isolated = true })
		_, ok := timeUntil(20*time.Second, func() bool { return len(members[0].Live()) == 8 })
		require.True(t, ok)
		f.locked(func() { members[2].isolated = false })
		took, ok := timeUntil(20*time.Second, func() bool { return allLive(members) })
		require.True(t, ok)
		t.Log("refutation reached all instances after", took)
		time.Sleep(20 * time.Second) // the resumed instance's own suspicions are refuted
		members[0].checkUnresponsive(t.Context(), members[1].self, errLink)
		require.Equal(t, StateLive, members[0].get(members[1].self.Name).State, "two other instances reach it")
	})
}

// Guards against a reported instance that keeps its keys for seconds although no
// probe reaches it, and against one that loses its keys although a probe reaches it.
func TestReportedInstanceLosesItsKeys(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		members := f.startAll(9)
		key := "pool/0"
		owner, _ := members[0].Owner(key, "")
		members[0].ReportFailure(owner.Name)
		time.Sleep(2 * time.Second)
		kept, _ := members[0].Owner(key, "")
		require.Equal(t, owner, kept, "the reported instance responds to probes")

		var reporter *member
		f.locked(func() { f.members[owner.Address].isolated = true })
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
		t.Log("all instances selected the next owner after", took)
	})
}

// Guards against an instance that started before the list contained the others and
// remains isolated until the next read after ListInterval.
func TestIsolatedInstanceReadsListOften(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		members := []*member{f.start(0, 1), f.start(1, 1)}
		time.Sleep(500 * time.Millisecond)
		f.locked(func() {
			f.list = []storage.InstanceRecord{{Name: members[0].self.Name, Address: members[0].self.Address}}
		})
		took, ok := timeUntil(20*time.Second, func() bool { return allLive(members) })
		require.True(t, ok)
		require.Less(t, took, 4*time.Second)
	})
}

// Guards against urgent facts that take longer than 2 s to reach all instances, at
// the present and the planned size of the fleet and with message loss.
func TestUrgentFactsSpread(t *testing.T) {
	for _, n := range []int{9, 50, 440} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, uint64(n), func(t *testing.T, f *fleet) {
				members := f.startAll(n)
				f.locked(func() { f.lossRate = 0.02 })
				time.Sleep(2 * time.Second)
				sub := members[n-1].Subscribe()
				f.applyGenerations(members)
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
						if m != members[4] && m.appliedGeneration() != 9 {
							return false // the instance that leaves may not hear of it any more
						}
					}
					return true
				})
				require.True(t, ok)
				t.Log("all facts reached all instances after", took)
				require.Len(t, <-sub.View, n-1)
				require.NotEmpty(t, (<-sub.Facts).Leaving)
				announced := <-sub.Generation
				require.Equal(t, int64(9), announced.Generation)
				require.Equal(t, "hash", announced.Hash)
			})
		})
	}
}

// Guards against a fact that never reaches an instance that started after it was
// sent, and against evidence that is not exchanged.
func TestFactsReachLateInstance(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
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

// Guards against regions that do not find each other after a partition of an hour
// while the list is unavailable, against a burst of requests when the partition
// ends, and against instances that lose peers of their own region because the
// other region had marked these dead.
func TestRegionPartitionForAnHour(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		const n = 24
		members := f.startAll(n)
		f.locked(func() { f.list = nil })
		time.Sleep(time.Minute) // all views then hold the addresses without the list
		f.locked(func() { f.partitioned, f.listErr = true, errors.New("list unavailable") })
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
			f.partitioned = false
			clear(f.crossRegionRequests)
		})
		fewestLive := n
		took, ok := timeUntil(2*time.Minute, func() bool {
			all := true
			for i, m := range members {
				live := len(m.Live())
				fewestLive = min(fewestLive, live)
				all = all && (live == n-1 || i == 3) && len(m.Facts().Stops) == 1
			}
			return all
		})
		require.True(t, ok)
		require.Equal(t, n/2-1, fewestLive, "an instance lost a peer of its own region")
		maxRequests := 0
		f.locked(func() {
			for _, requests := range f.crossRegionRequests {
				maxRequests = max(maxRequests, requests)
			}
		})
		require.Less(t, maxRequests, 2*n, "requests between the regions in one second")
		t.Log("views complete after", took, "maximum requests per second between the regions", maxRequests)
	})
}

// Guards against live views that never converge after message loss, crashes,
// restarts and partitions in any order.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		withFleet(t, seed, func(t *testing.T, f *fleet) {
			members := f.startAll(7)
			rng := rand.New(rand.NewPCG(seed, 3))
			f.locked(func() { f.lossRate = rng.Float64() / 2 })
			for step := range 8 {
				i := rng.IntN(len(members))
				switch rng.IntN(4) {
				case 0:
					members[i].stop()
					members[i] = f.start(i, uint64(step+2))
				case 1:
					f.locked(func() { f.partitioned = !f.partitioned })
				case 2:
					f.locked(func() { members[i].isolated = !members[i].isolated })
				case 3:
					members[i].AddLeaving(Leaving{fmt.Sprint("worker", step), int64(step)})
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
			}
			f.locked(func() {
				f.lossRate, f.partitioned = 0, false
				for _, m := range members {
					m.isolated = false
				}
			})
			_, ok := timeUntil(3*time.Minute, func() bool {
				for _, m := range members {
					if m.stateHash() != members[0].stateHash() {
						return false
					}
				}
				return allLive(members)
			})
			require.True(t, ok, "seed %d", seed)
		})
	})
}

// Guards against a view that is changed by a message without a valid record, and
// against a response from a reused address that counts for the former instance.
func TestMalformedAndMisdirected(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, f *fleet) {
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
		require.Len(t, m.Live(), 2, "the instance at the address is added to the view")
	})
}
