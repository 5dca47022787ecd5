package instance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/basilloom/basilloom/rollout"
)

// orderStatus records how recent this instance's knowledge of the status of each order is.
type orderStatus struct {
	mu     sync.Mutex
	orders map[int64]orderTimes
	// unavailable is set if the last read from the store failed.
	unavailable bool
}

type orderTimes struct {
	// askedAt is when the status was last asked for at the store, readAt when a phase was
	// last read there, heardAt when an owner last reported one.
	askedAt, readAt, heardAt time.Time
}

func (s *orderStatus) asked(order int64, now time.Time, failed bool) {
	s.update(order, func(t *orderTimes) {
		t.askedAt = now
		s.unavailable = failed
	})
}

func (s *orderStatus) read(order int64, now time.Time) {
	s.update(order, func(t *orderTimes) { t.readAt = now })
}

func (s *orderStatus) heard(order int64, now time.Time) {
	s.update(order, func(t *orderTimes) { t.heardAt = now })
}

func (s *orderStatus) update(order int64, change func(*orderTimes)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orders == nil {
		s.orders = make(map[int64]orderTimes)
	}
	t := s.orders[order]
	change(&t)
	s.orders[order] = t
}

// keep removes all but the given orders.
func (s *orderStatus) keep(orders []rollout.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.orders, func(id int64, _ orderTimes) bool {
		return !slices.ContainsFunc(orders, func(o rollout.Order) bool { return o.ID == id })
	})
}

// expired reports whether an instance that does not own the order must read the status from
// the store: it has heard of none for statusTimeout, or has to find out whether the store
// responds again.
func (s *orderStatus) expired(order int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[order]
	return now.Sub(t.askedAt) >= statusTimeout && (s.unavailable || now.Sub(t.heardAt) >= statusTimeout)
}

// isRead reports whether the phase was read recently or, if it is final, at all.
func (s *orderStatus) isRead(order int64, now time.Time, final bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.orders[order]
	return !t.readAt.IsZero() && (final || now.Sub(t.readAt) < statusTimeout)
}

func (s *orderStatus) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}
