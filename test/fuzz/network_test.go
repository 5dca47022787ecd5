package fuzz

import (
	"sync"
	"time"
)

// Delays of the network, one way.
const (
	regionDelay = 500 * time.Microsecond
	linkDelay   = 12 * time.Millisecond
	maxJitter   = 2 * time.Millisecond
	// reorderingJitter is far larger than the delay, so messages overtake each other.
	reorderingJitter = 400 * time.Millisecond
	lossPercent      = 30
)

// network carries messages between instances and drops some of them. The
// connectivity is locked because configuration watchers read it.
type network struct {
	world *world

	mu          sync.Mutex
	partitioned bool
	isolated    map[string]bool

	lossy      bool
	reordering bool
}

func newNetwork(w *world) *network {
	return &network{world: w, isolated: make(map[string]bool)}
}

// connected reports whether two instances can reach each other.
func (n *network) connected(a, b *instance) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a == b {
		return true
	}
	return !n.isolated[a.name] && !n.isolated[b.name] && (!n.partitioned || a.region == b.region)
}

// reaches reports whether an instance can reach a target in the region. An
// isolated instance cannot reach the targets of its own region either.
func (n *network) reaches(in *instance, region string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isolated[in.name] && (!n.partitioned || in.region == region)
}

func (n *network) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *network) setIsolated(name string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[name] = isolated
}

// delayBetween returns the delay of one message. An instance's messages to
// itself do not use the network: they have no jitter and are never lost.
func (n *network) delayBetween(a, b *instance) time.Duration {
	if a == b {
		return regionDelay
	}
	return n.delay(a.region, b.region)
}

func (n *network) delay(a, b string) time.Duration {
	d := regionDelay
	if a != b {
		d = linkDelay
	}
	jitter := maxJitter
	if n.reordering {
		jitter = reorderingJitter
	}
	return d + time.Duration(n.world.rng.Int64N(int64(jitter)))
}

func (n *network) dropsMessage(from, to *instance) bool {
	return n.lossy && from != to && n.world.rng.IntN(100) < lossPercent
}

// send delivers a message that may be lost or overtaken by a later one.
func (n *network) send(from, to *instance, deliver func()) {
	if n.dropsMessage(from, to) || !n.connected(from, to) {
		return
	}
	incarnation := to.incarnation
	n.world.after(n.delayBetween(from, to), func() {
		if to.incarnation == incarnation && n.connected(from, to) {
			to.handle(deliver)
		}
	})
}

// stream is an ordered connection between an entry and a broker. A lost message
// breaks it, like a connection whose retransmissions time out.
type stream struct {
	entry, broker                       *instance
	entryIncarnation, brokerIncarnation uint64
	// lastAtBroker and lastAtEntry are the arrival times of the last messages.
	lastAtBroker, lastAtEntry time.Time
	broken                    bool
	// onEntryLost and onBrokerLost run when that side detects the break.
	onEntryLost, onBrokerLost func()
}

// maxNoticeDelay is the maximum time until a side detects a broken stream.
const maxNoticeDelay = 300 * time.Millisecond

func (n *network) open(entry, broker *instance) *stream {
	return &stream{entry: entry, broker: broker, entryIncarnation: entry.incarnation, brokerIncarnation: broker.incarnation}
}

func (n *network) breakStream(s *stream) {
	if s.broken {
		return
	}
	s.broken = true
	scheduleNotice := func(in *instance, incarnation uint64, lost func()) {
		n.world.after(time.Duration(n.world.rng.Int64N(int64(maxNoticeDelay))), func() {
			if lost != nil && in.incarnation == incarnation {
				in.handle(lost)
			}
		})
	}
	scheduleNotice(s.entry, s.entryIncarnation, s.onEntryLost)
	scheduleNotice(s.broker, s.brokerIncarnation, s.onBrokerLost)
}

// sendToBroker delivers a message of the entry in the order of sending.
func (n *network) sendToBroker(s *stream, deliver func()) {
	n.sendOn(s, s.broker, s.brokerIncarnation, &s.lastAtBroker, deliver)
}

// sendToEntry delivers a message of the broker in the order of sending.
func (n *network) sendToEntry(s *stream, deliver func()) {
	n.sendOn(s, s.entry, s.entryIncarnation, &s.lastAtEntry, deliver)
}

func (n *network) sendOn(s *stream, to *instance, incarnation uint64, last *time.Time, deliver func()) {
	if s.broken {
		return
	}
	if n.dropsMessage(s.entry, s.broker) || !n.connected(s.entry, s.broker) {
		n.breakStream(s)
		return
	}
	at := time.Now().Add(n.delayBetween(s.entry, s.broker))
	if at.Before(*last) {
		at = *last
	}
	*last = at
	n.world.schedule(at, func() {
		if s.broken {
			return
		}
		if to.incarnation != incarnation || !n.connected(s.entry, s.broker) {
			n.breakStream(s)
			return
		}
		to.handle(deliver)
	})
}
