package golden

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/internal/standin/fault"
)

// callerSession records the calls of one deployment's callers.
func callerSession(s *session) {
	d := s.deployment
	s.applyConfig(1, readConfig(s.t, d))

	s.section("quiet morning: one call on each route")
	for _, route := range []string{d.heavy, d.light, d.bulk, d.read} {
		s.send(d.unrestricted, route)
		s.advance(500 * time.Millisecond)
	}
	s.advance(40 * time.Second)

	s.section("a workspace is held to its routes and its highest tier")
	s.send(d.restricted, d.heavy)
	s.send(d.restricted, d.light)
	s.advance(10 * time.Second)

	s.section("a call from the remote region stays there; a long one crosses the link only if it must")
	s.send(d.unrestricted, d.light, from(d.remoteRegion))
	s.send(d.unrestricted, d.heavy, from(d.remoteRegion), prompt(20000))
	s.advance(60 * time.Second)

	s.nonIdempotentCalls()
	s.overload()
	s.targetCrashes()
	s.leavingTarget()
}

// nonIdempotentCalls records calls that must not run twice, also while the store is
// unavailable and after a lost response.
func (s *session) nonIdempotentCalls() {
	d := s.deployment
	s.section("a call that must not run twice: first, while it runs, and after its answer")
	s.send(d.unrestricted, d.nonIdempotent, withKey("order-1"))
	s.advance(10 * time.Millisecond)
	s.send(d.unrestricted, d.nonIdempotent, withKey("order-1"))
	s.advance(time.Second)
	s.send(d.unrestricted, d.nonIdempotent, withKey("order-1"))
	s.advance(time.Second)

	s.section("the store is away: such a call is refused, a read is served")
	s.table.Faults.Set(fault.Settings{Outage: true, Unlimited: true})
	s.send(d.unrestricted, d.nonIdempotent, withKey("order-2"))
	s.send(d.unrestricted, d.read)
	s.advance(time.Second)

	s.section("the store is back and loses the answer of the next write")
	s.table.Faults.Set(fault.Settings{LoseNext: 1, Unlimited: true})
	s.send(d.unrestricted, d.nonIdempotent, withKey("order-2"))
	s.advance(time.Second)
	s.send(d.unrestricted, d.nonIdempotent, withKey("order-2"))
	s.advance(time.Second)
}

// overload records shares, tier order, refusals and cancellations under overload.
func (s *session) overload() {
	d := s.deployment
	s.section("rush: bulk work fills all targets, then plans and chats arrive")
	for range 150 {
		s.send(d.unrestricted, d.bulk)
	}
	for range 12 {
		s.send(d.unrestricted, d.heavy, prompt(3000))
	}
	for range 12 {
		s.send(d.unrestricted, d.light)
	}
	s.advance(90 * time.Second)
}

// targetCrashes records a request that crashes targets, and the probes of the
// targets after their restart.
func (s *session) targetCrashes() {
	d := s.deployment
	s.section("a request crashes each target that runs it, and its caller sends it again")
	for range 3 {
		s.send(d.unrestricted, d.light, poison(77))
		s.advance(2 * time.Second)
	}

	s.section("the dead targets return and are probed by calls of the lowest tier")
	for _, t := range s.snapshot.Config().GetTargets() {
		if crashed := s.targets[t.GetName()]; !crashed.up {
			s.restart(crashed)
		}
	}
	for range 8 {
		s.send(d.unrestricted, d.bulk)
		s.advance(time.Second)
	}
	s.advance(10 * time.Second)
}

// leavingTarget records a target that leaves: its running calls finish and no new
// call starts on it.
func (s *session) leavingTarget() {
	d := s.deployment
	s.section("a target leaves while it runs a plan")
	s.send(d.unrestricted, d.heavy)
	s.advance(200 * time.Millisecond)
	name := s.lastCallTarget()
	changed := proto.CloneOf(s.snapshot.Config())
	for _, t := range changed.GetTargets() {
		t.Leaving = t.GetName() == name
	}
	s.writeLine("%s leaves", name)
	s.applyConfig(2, changed)
	s.send(d.unrestricted, d.heavy)
	s.advance(2 * time.Minute)
}

func (s *session) lastCallTarget() string {
	for _, c := range s.calls {
		if int(c.id.Sequence) == len(s.calls) {
			return c.target
		}
	}
	return ""
}
