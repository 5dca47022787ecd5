package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/storage"
)

// fleet connects Exchangers in memory inside one synctest bubble. mu guards all
// fields; calls of Handle do not hold it.
type fleet struct {
	mu                  chan struct{} // used as a mutex, because synctest treats a channel wait as durably blocking
	rng                 *rand.Rand
	members             map[string]*member // by address
	list                []storage.InstanceRecord
	listErr             error
	lossRate            float64
	partitioned         bool // no messages between regions "a" and "b"
	requests            int
	wireBytes           int
	running             sync.WaitGroup
	done                chan struct{}
	crossRegionRequests map[time.Time]int // number of requests between regions, by second
}

type member struct {
	*Exchanger
	self     Instance
	stop     context.CancelFunc
	isolated bool // neither sends nor receives
}

var errLink = errors.New("no connection")

func newFleet(seed uint64) *fleet {
	f := &fleet{
		mu:                  make(chan struct{}, 1),
		rng:                 rand.New(rand.NewPCG(seed, 1)),
		members:             map[string]*member{},
		crossRegionRequests: map[time.Time]int{},
		done:                make(chan struct{}),
	}
	return f
}

func (f *fleet) locked(do func()) {
	f.mu <- struct{}{}
	defer func() { <-f.mu }()
	do()
}

// List implements storage.InstanceList.
func (f *fleet) List(context.Context) (list []storage.InstanceRecord, err error) {
	f.locked(func() { list, err = f.list, f.listErr })
	return list, err
}

type link struct {
	fleet *fleet
	from  Instance
}

// Exchange delivers a request after 1 ms. A lost request ends when the caller's
// context does.
func (l link) Exchange(ctx context.Context, address string, request *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	f := l.fleet
	var to *member
	var lost bool
	f.locked(func() {
		to = f.members[address]
		from := f.members[l.from.Address]
		if to == nil || from == nil {
			return
		}
		crosses := to.self.Region != l.from.Region
		if crosses {
			f.crossRegionRequests[time.Now().Truncate(time.Second)]++
		}
		lost = to.isolated || from.isolated || f.rng.Float64() < f.lossRate || f.partitioned && crosses
		f.requests++
		f.wireBytes += proto.Size(request)
	})
	if to == nil {
		return nil, errLink
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	response, err := to.Handle(ctx, request)
	f.locked(func() { f.wireBytes += proto.Size(response) })
	return response, err
}

func (f *fleet) start(i int, incarnation uint64) *member {
	self := Instance{
		Name:        fmt.Sprintf("instance-%03d", i),
		Incarnation: incarnation,
		Address:     fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1),
		Region:      [2]string{"a", "b"}[i%2],
		Zone:        "zone-1",
	}
	ctx, cancel := context.WithCancel(context.Background())
	var seed uint64
	f.locked(func() { seed = f.rng.Uint64() })
	e := New(Options{Self: self, Transport: link{f, self}, List: f, Rand: rand.New(rand.NewPCG(seed, 2))})
	m := &member{Exchanger: e, self: self}
	done := make(chan struct{})
	m.stop = func() {
		f.locked(func() { delete(f.members, self.Address) })
		cancel()
		<-done
	}
	f.locked(func() { f.members[self.Address] = m })
	go func() {
		e.Run(ctx)
		close(done)
	}()
	return m
}

// startAll starts n instances whose views already contain all others. This avoids
// the cost of the initial exchanges in large fleets.
func (f *fleet) startAll(n int) []*member {
	members := make([]*member, n)
	for i := range members {
		members[i] = f.start(i, 1)
		self := members[i].self
		item := storage.InstanceRecord{Name: self.Name, Address: self.Address, Region: self.Region}
		f.locked(func() { f.list = append(f.list, item) })
	}
	for _, m := range members {
		m.mu.Lock()
		for _, other := range members {
			m.view.Merge(Record{Instance: other.self, State: StateLive}, time.Now())
		}
		clear(m.queue.remaining)
		m.synced = true
		m.mu.Unlock()
	}
	return members
}

// withFleet calls test with a fleet in a synctest bubble and then stops all instances
// of the fleet.
func withFleet(t *testing.T, seed uint64, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed)
		defer func() {
			close(f.done)
			f.running.Wait()
			for _, m := range maps.Clone(f.members) {
				m.stop()
			}
		}()
		test(t, f)
	})
}

// timeUntil polls the condition every 50 ms and returns the time until it was met,
// or false after the limit.
func timeUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			return limit, false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start), true
}

// applyGenerations makes each member set the first generation that its subscription
// delivers after 20 ms, as if it had fetched the content.
func (f *fleet) applyGenerations(members []*member) {
	for _, m := range members {
		sub := m.Subscribe()
		f.running.Go(func() {
			select {
			case announced := <-sub.Generation:
				time.Sleep(20 * time.Millisecond)
				m.SetGeneration(announced.Generation, announced.Hash)
			case <-f.done:
			}
		})
	}
}

func (m *member) appliedGeneration() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.generation
}

func (m *member) get(name string) Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, _ := m.view.Get(name)
	return r
}

func (m *member) stateHash() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hash()
}

// allLive reports whether each member's view has as many live instances as there
// are members.
func allLive(members []*member) bool {
	for _, m := range members {
		if len(m.Live()) != len(members) {
			return false
		}
	}
	return true
}
