package golden

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/internal/standin/fault"
)

// callersDay is a day of the callers of one deployment.
func callersDay(s *session) {
	d := s.deployment
	s.use(1, readConfig(s.t, d))

	s.scene("quiet morning: one call on each route")
	for _, route := range []string{d.heavy, d.light, d.bulk, d.read} {
		s.send(d.owner, route)
		s.advance(500 * time.Millisecond)
	}
	s.advance(40 * time.Second)

	s.scene("a workspace is held to its routes and its highest tier")
	s.send(d.restricted, d.heavy)
	s.send(d.restricted, d.light)
	s.advance(10 * time.Second)

	s.scene("a call from the remote region stays there; a long one crosses the link only if it must")
	s.send(d.owner, d.light, from(d.remote))
	s.send(d.owner, d.heavy, from(d.remote), prompt(20000))
	s.advance(60 * time.Second)

	s.callOnce()
	s.rush()
	s.crashes()
	s.leaving()
}

// callOnce shows calls that must not run twice.
func (s *session) callOnce() {
	d := s.deployment
	s.scene("a call that must not run twice: first, while it runs, and after its answer")
	s.send(d.owner, d.once, withKey("order-1"))
	s.advance(10 * time.Millisecond)
	s.send(d.owner, d.once, withKey("order-1"))
	s.advance(time.Second)
	s.send(d.owner, d.once, withKey("order-1"))
	s.advance(time.Second)

	s.scene("the store is away: such a call is refused, a read is served")
	s.table.Faults.Set(fault.Settings{Outage: true, Unlimited: true})
	s.send(d.owner, d.once, withKey("order-2"))
	s.send(d.owner, d.read)
	s.advance(time.Second)

	s.scene("the store is back and loses the answer of the next write")
	s.table.Faults.Set(fault.Settings{LoseNext: 1, Unlimited: true})
	s.send(d.owner, d.once, withKey("order-2"))
	s.advance(time.Second)
	s.send(d.owner, d.once, withKey("order-2"))
	s.advance(time.Second)
}

// rush shows shares, tier order, refusals and cancellations under overload.
func (s *session) rush() {
	d := s.deployment
	s.scene("rush: bulk work fills all targets, then plans and chats arrive")
	for range 150 {
		s.send(d.owner, d.bulk)
	}
	for range 12 {
		s.send(d.owner, d.heavy, prompt(3000))
	}
	for range 12 {
		s.send(d.owner, d.light)
	}
	s.advance(90 * time.Second)
}

// crashes shows a target that dies, its probe, and a request that crashes targets.
func (s *session) crashes() {
	d := s.deployment
	s.scene("a request crashes each target that runs it, and its caller sends it again")
	for range 3 {
		s.send(d.owner, d.light, poison(77))
		s.advance(2 * time.Second)
	}

	s.scene("the dead targets return and are probed by calls of the lowest tier")
	for _, t := range s.snapshot.Config().GetTargets() {
		if dead := s.targets[t.GetName()]; !dead.up {
			s.revive(dead)
		}
	}
	for range 8 {
		s.send(d.owner, d.bulk)
		s.advance(time.Second)
	}
	s.advance(10 * time.Second)
}

// leaving shows a target that leaves: what runs on it ends, nothing new starts.
func (s *session) leaving() {
	d := s.deployment
	s.scene("a target leaves while it runs a plan")
	s.send(d.owner, d.heavy)
	s.advance(200 * time.Millisecond)
	name := s.targetOfLast()
	changed := proto.CloneOf(s.snapshot.Config())
	for _, t := range changed.GetTargets() {
		t.Leaving = t.GetName() == name
	}
	s.say("%s leaves", name)
	s.use(2, changed)
	s.send(d.owner, d.heavy)
	s.advance(2 * time.Minute)
}

func (s *session) targetOfLast() string {
	for _, c := range s.calls {
		if int(c.id.Sequence) == len(s.calls) {
			return c.target
		}
	}
	return ""
}
