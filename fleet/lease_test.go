package fleet

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/mirror"
)

var leaseSeeds = flag.Uint64("lease.seeds", 15, "number of series of faults")

var errAway = errors.New("store is away")

// rowStore is the store's table of instances.
type rowStore struct {
	started time.Time
	version int64
	rows    map[string]mirror.Row
	away    bool
}

func (s *rowStore) now() time.Duration { return time.Hour + time.Since(s.started) }

// write changes a row on condition of its version, -1 for any; a nil member removes it.
func (s *rowStore) write(name string, m *pb.FleetMember, expect int64) bool {
	if s.away || expect >= 0 && s.rows[name].Version != expect {
		return false
	}
	s.version++
	if m == nil {
		delete(s.rows, name)
		return true
	}
	value, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	s.rows[name] = mirror.Row{Key: name, Value: value, Version: s.version}
	return true
}

// leaseFleet runs instances in virtual time. mu guards it and all instances' duties.
type leaseFleet struct {
	t       *testing.T
	mu      sync.Mutex
	rng     *rand.Rand
	store   *rowStore
	running map[string]*leaseInstance
	starts  uint64
	// side holds the side of a partition on which each instance is, the store on side 0.
	side map[string]int
	// disturbedAt is when an instance or the network last changed.
	disturbedAt time.Time
}

type leaseInstance struct {
	*Fleet
	fleet *leaseFleet
	name  string
	rows  *mirror.Table
	end   context.CancelFunc
	// registered is set once the row is written. Instances register at most a second after
	// their start.
	registered bool
}

func (i *leaseInstance) reaches() bool { return !i.fleet.store.away && i.fleet.side[i.name] == 0 }

// Load implements mirror.Source.
func (i *leaseInstance) Load(context.Context, string) ([]mirror.Row, int64, error) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if !i.reaches() {
		return nil, 0, errAway
	}
	return slices.Collect(maps.Values(i.fleet.store.rows)), i.fleet.store.version, nil
}

// Watch implements mirror.Source. It reports a change as lost history, so that the table is
// read again.
func (i *leaseInstance) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (mirror.Changes, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if changes, err := i.changes(after); err != nil || !time.Now().Before(end) || ctx.Err() != nil {
			return changes, err
		}
	}
}

func (i *leaseInstance) changes(after int64) (mirror.Changes, error) {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	switch s := i.fleet.store; {
	case !i.reaches():
		return mirror.Changes{}, errAway
	case s.version > after:
		return mirror.Changes{}, mirror.ErrCompacted
	default:
		return mirror.Changes{Version: s.version, ReadAt: s.now()}, nil
	}
}

func newLeaseFleet(t *testing.T, seed uint64) *leaseFleet {
	return &leaseFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), running: make(map[string]*leaseInstance), side: make(map[string]int),
		store: &rowStore{started: time.Now(), rows: make(map[string]mirror.Row)},
	}
}

func (l *leaseFleet) start(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	i := &leaseInstance{fleet: l, name: name}
	i.rows = mirror.NewTable("instances", i, zap.NewNop())
	i.Fleet = &Fleet{
		settings: Settings{
			Self: name, Incarnation: l.starts, Zone: "z1", Address: name, Tables: []*mirror.Table{i.rows}, Instances: i.rows,
			LatestStoreTime: func() (time.Duration, bool) { return l.store.now(), true },
			FillReport:      func(*pb.FleetReport) {}, OnReport: func(*pb.FleetReport) {}, Log: zap.NewNop(),
		},
		peers: make(map[string]*Peer), toRelay: make(map[string]*pb.RelayedReport),
	}
	i.updateScheduleLocked()
	i.write = func(data []byte, to string) {
		if peer := l.running[to]; peer != nil && l.side[to] == l.side[name] {
			peer.handle(data, time.Now())
		}
	}
	ctx, end := context.WithCancel(l.t.Context())
	i.end = end
	l.running[name] = i
	l.disturbedAt = time.Now()
	go i.rows.Run(ctx)
	go i.follow(ctx)
}

func (l *leaseFleet) kill(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := l.running[name]; i != nil {
		i.end()
		delete(l.running, name)
		l.disturbedAt = time.Now()
	}
}

// stop ends all instances and waits for the ends of their calls.
func (l *leaseFleet) stop() {
	for name := range maps.Clone(l.running) {
		l.kill(name)
	}
	time.Sleep(time.Second)
}

// follow does what an instance does with its fleet and its row.
func (i *leaseInstance) follow(ctx context.Context) {
	rowsDue := time.Now()
	for round := 0; ctx.Err() == nil; round++ {
		i.fleet.mu.Lock()
		i.takeRows()
		if round%10 == 0 {
			i.report()
		}
		if now := time.Now(); !now.Before(rowsDue) {
			rowsDue = now.Add(i.maintainRows())
		}
		i.fleet.mu.Unlock()
		time.Sleep(reportPeriod / 10)
	}
}

func (i *leaseInstance) takeRows() {
	select {
	case <-i.rows.Changed():
		var rows []Row
		for _, r := range i.rows.Current().Rows {
			m := &pb.FleetMember{}
			require.NoError(i.fleet.t, proto.Unmarshal(r.Value, m))
			rows = append(rows, Row{Member: m, Version: r.Version})
		}
		i.SetRows(rows, i.rows.Version(), time.Now())
	default:
	}
}

func (i *leaseInstance) report() {
	i.reportNear()
	for _, peer := range i.LiveReports(time.Now()) {
		if from := i.fleet.running[peer.GetInstance()]; from != nil && i.fleet.side[from.name] == i.fleet.side[i.name] {
			i.copyRows(from)
		}
	}
}

// maintainRows returns the time until the rows are to be checked again.
func (i *leaseInstance) maintainRows() time.Duration {
	now, self := time.Now(), i.member()
	own, ok := i.OwnRow()
	if i.reaches() && ok && (!i.registered || own.Member == nil || own.Member.GetSilent()) {
		if i.fleet.store.write(i.name, Cleared(self, own.Member, i.fleet.store.now()), own.Version) {
			i.registered = true
		}
	}
	check := i.CheckRows(now, i.fleet.store.now())
	if len(check.Due) == 0 {
		return check.Wait
	}
	if owner, _ := i.Owner("instances", func(*pb.FleetReport) bool { return false }, now); owner == i.name && i.reaches() {
		i.changeRows(check.Due, now)
	}
	return 2 * reportPeriod
}

// changeRows writes changes and takes the rows that the store's responses show, but for a
// tenth of the responses, which are lost.
func (i *leaseInstance) changeRows(due []RowChange, now time.Time) {
	for _, change := range due {
		name := change.Row.Member.GetInstance()
		i.fleet.store.write(name, change.Next, change.Row.Version)
		row, ok := i.fleet.store.rows[name]
		if !ok || i.fleet.store.version%10 == 0 {
			continue
		}
		m := &pb.FleetMember{}
		require.NoError(i.fleet.t, proto.Unmarshal(row.Value, m))
		i.SetWritten([]Row{{Member: m, Version: row.Version}}, i.fleet.store.version, now)
	}
}

func (i *leaseInstance) member() *pb.FleetMember {
	return &pb.FleetMember{Instance: i.name, Incarnation: i.settings.Incarnation, Address: i.name, Zone: "z1"}
}

func (i *leaseInstance) copyRows(from *leaseInstance) {
	if c := from.rows.CopyAfter(0); c.Version > i.rows.Version() {
		i.AddMembers(from.Members())
		_, err := i.rows.ApplyFromPeer(c)
		require.NoError(i.fleet.t, err)
	}
}

// String describes the instances' parts.
func (l *leaseFleet) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	now := time.Now()
	for name, i := range l.running {
		c := i.countLocked(now)
		lines = append(lines, fmt.Sprintf("%s: side %d, share %.3f, %d of %d reachable, %d released, lease %v from %v, store time %v",
			name, l.side[name], i.Share(now), c.reachable, c.known, c.released, i.lease.logged.held, i.lease.from, l.store.now()))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// partition puts each of the instances on a side; the others are on that of the store.
func (l *leaseFleet) partition(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.side)
	for _, name := range names {
		l.side[name] = l.rng.IntN(3)
	}
	l.disturbedAt = time.Now()
}

func (l *leaseFleet) setAway(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store.away = away
}

// spent returns the fraction of the limits that all instances may spend now. Those on one
// side of a partition count each other's spending.
func (l *leaseFleet) spent() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	bySide := make(map[int]float64)
	for name, i := range l.running {
		if i.rows.Current() == nil {
			continue // an instance without the store or a peer has no configuration either
		}
		bySide[l.side[name]] = max(bySide[l.side[name]], i.Share(time.Now()))
	}
	total := 0.0
	for _, share := range bySide {
		total += share
	}
	return total
}

// run lets the time pass. The parts spent must not exceed the limits, but for the time in
// which reports are missed first.
func (l *leaseFleet) run(d time.Duration, what string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		synctest.Wait()
		if time.Since(l.disturbedAt) > minReportTimeout {
			require.LessOrEqual(l.t, l.spent(), 1+1e-9, "%s\n%s", what, l)
		}
	}
}

// Guards against peers that left long ago and still get reports or count as members.
func TestPeersThatLeftAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeaseFleet(t, 1)
		defer l.stop()
		for _, name := range []string{"a", "b", "c"} {
			l.start(name)
		}
		l.run(5*time.Second, "start")
		require.Equal(t, 3, l.running["a"].Size())
		l.mu.Lock()
		l.running["b"].Leave()
		l.store.write("b", nil, -1)
		l.mu.Unlock()
		l.run(100*time.Millisecond, "the row is gone while the peer still sends reports")
		l.kill("b")
		l.run(3*time.Second, "left")
		require.Equal(t, 2, l.running["a"].Size())
		require.Len(t, l.running["a"].Members(), 2)
		require.InDelta(t, 1, l.spent(), 1e-9)
		l.kill("c")
		l.mu.Lock()
		l.store.write("c", nil, -1)
		l.mu.Unlock()
		l.run(silenceLimit+leaseTime+3*time.Second, "its row is removed without a word")
		require.Len(t, l.running["a"].Members(), 1)
	})
}

// TestPartsInSeriesOfFaults guards against parts of the quotas that are spent twice, by peers
// that are only cut off, and against parts of lost instances that nobody spends: faults come
// in series, with less time between them than a part takes to be released.
func TestPartsInSeriesOfFaults(t *testing.T) {
	const instances, recoveryTime = 9, 12 * time.Second
	for seed := range *leaseSeeds {
		synctest.Test(t, func(t *testing.T) {
			l := newLeaseFleet(t, seed)
			defer l.stop()
			names := make([]string, instances)
			for k := range names {
				names[k] = fmt.Sprint("i", k)
				l.start(names[k])
			}
			l.run(5*time.Second, "start")
			require.InDelta(t, 1, l.spent(), 1e-9)
			lost := make(map[string]bool)
			script := fmt.Sprint("seed ", seed, ":")
			for range 2 + l.rng.IntN(6) {
				switch l.rng.IntN(6) {
				case 0:
					n := 1 + l.rng.IntN(instances-1)
					script += fmt.Sprintf(" lose up to %d;", n)
					for range n {
						if name := names[l.rng.IntN(instances)]; len(lost) < instances-1 {
							lost[name] = true
							l.kill(name)
						}
					}
				case 1, 2:
					away := time.Duration(l.rng.IntN(2000)) * time.Millisecond
					script += fmt.Sprintf(" restart all, away %v;", away)
					for _, name := range names {
						l.kill(name)
					}
					l.run(away, script)
					for _, name := range names {
						if !lost[name] {
							l.start(name)
							l.run(time.Duration(l.rng.IntN(200))*time.Millisecond, script)
						}
					}
				case 3:
					script += " partition;"
					l.partition(names)
				case 4:
					away := l.rng.IntN(2) == 0
					script += fmt.Sprintf(" store away %v;", away)
					l.setAway(away)
				case 5:
					script += " partition ends;"
					l.partition(nil)
				}
				pause := time.Duration(l.rng.IntN(15000)) * time.Millisecond
				script += fmt.Sprintf(" %v;", pause)
				l.run(pause, script)
			}
			l.partition(nil)
			l.setAway(false)
			for _, name := range names {
				l.kill(name)
			}
			l.run(time.Second, script)
			for _, name := range names {
				if !lost[name] {
					l.start(name)
				}
			}
			l.run(recoveryTime, script+" back")
			left := float64(instances-len(lost)) / instances
			require.InDelta(t, left+(1-left)*(1-keptFraction), l.spent(), 1e-9, script)
		})
	}
}
