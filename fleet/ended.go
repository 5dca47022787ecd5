package fleet

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/telemetry/field"
)

// A silent peer whose address refuses connections has ended: its machine answers, and no
// process listens. It spends nothing any more, so its row is removed without a wait. A peer
// that is only cut off does not answer. This relies on a network that drops what it does not
// deliver and does not reject it in the peer's place; where it does, both sides spend at most
// keptFraction of the peer's part.
const (
	// probeTimeout is how long a connection to a silent peer may take.
	probeTimeout = 300 * time.Millisecond
	// probeLead is how long before the mark of its row a silent peer is probed: the row of one
	// that has ended is then removed and not marked first.
	probeLead = 400 * time.Millisecond
	// probeInterval is the time between two probes of a silent peer.
	probeInterval = 30 * time.Second
	// maxProbes bounds the probes of one round.
	maxProbes = 32
)

// probeWaitLocked returns how long it takes until a silent peer is to be probed if nothing is
// heard of it.
func (f *Fleet) probeWaitLocked(p *Peer, now time.Time) time.Duration {
	if p.row.Member == nil || p.ended || f.isCurrent(p, now) {
		return probeInterval
	}
	return max(silenceLimit-probeLead-(f.clock.observe(now)-p.seenAt), p.probeAt.Sub(now))
}

// ProbeSilent probes the silent peers whose turn it is, in the background, and calls onEnded
// for each that has ended.
func (f *Fleet) ProbeSilent(ctx context.Context, now time.Time, onEnded func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	probes := 0
	for _, p := range f.peers {
		if f.probeWaitLocked(p, now) > 0 || probes >= maxProbes {
			continue
		}
		probes++
		p.probeAt = now.Add(probeInterval)
		go func() {
			if f.refuses(ctx, p.Address) && f.setEnded(p) {
				onEnded()
			}
		}()
	}
}

// setEnded records that a peer has ended, unless it was heard or started again meanwhile.
func (f *Fleet) setEnded(p *Peer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers[p.Name] != p || f.isCurrent(p, time.Now()) {
		return false
	}
	p.ended = true
	f.settings.Log.Info("silent peer has ended, its address refuses connections", zap.String(field.Peer, p.Name),
		zap.String(field.Address, p.Address))
	return true
}

// refusesConnections reports whether the machine at an address answers that nothing listens
// there.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
