package fuzz

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/scheduler"
)

// lowestRank is the rank of the lowest tier of baseFolder.
const lowestRank scheduler.Rank = 2

// operators apply configurations. They work beside the store, so that they do
// not depend on an instance.
type operators struct {
	world    *world
	leaving  map[string]bool
	revision int
	applies  int
}

// apply makes a configuration from the present state and applies it on top of
// the expected generation.
func (o *operators) apply(operator string, expect int64) {
	o.revision++
	o.applies++
	store := o.store()
	id := fmt.Sprintf("apply-%d", o.applies)
	row, err := store.Apply(o.world.ctx, makeConfig(o.leaving, o.revision), id, operator, expect)
	if err != nil {
		o.world.logf("operator %s fails to apply: %v", operator, err)
		return
	}
	o.world.logf("operator %s applied generation %d", operator, row.Generation)
}

func (o *operators) store() *config.Store {
	way := access{world: o.world}
	return config.NewStore(tableAccess{way}, objectAccess{way}, nil)
}

// newest is the newest accepted generation, or 0 if the store is away.
func (o *operators) newest() int64 {
	row, err := o.store().Newest(o.world.ctx)
	if err != nil {
		return 0
	}
	return row.Generation
}

// perform runs one step of the plan.
func (w *world) perform(s step) {
	w.logf("step %s %d %d", stepNames[s.Kind], s.A, s.B)
	in, t := w.instance(s.A), w.target(s.A)
	hold := time.Second + time.Duration(s.B%8)*time.Second
	switch s.Kind {
	case stepRequest:
		w.call(in, s.B, false)
	case stepBurst:
		w.burst(s)
	case stepClaimedCall:
		w.claimedCall(in, s.B%5)
	case stepPoison:
		w.call(in, s.B, true)
	case stepKillInstance:
		in.kill(hold)
	case stepPauseInstance:
		in.pause(hold)
	case stepDrainInstance:
		in.drain()
	case stepCutRegions:
		w.fault(hold, "region cut", func(on bool) { w.network.setCut(on) })
	case stepIsolateInstance:
		w.fault(hold, "isolation of "+in.name, func(on bool) { w.network.setIsolated(in.name, on) })
	case stepLoseMessages:
		w.fault(hold, "message loss", func(on bool) { w.network.lossy = on })
	case stepDelayMessages:
		w.fault(hold, "message disorder", func(on bool) { w.network.disorder = on })
	case stepStoreOutage:
		w.fault(2*hold, "store outage", w.platform.outage.Store)
	case stepHangReads:
		w.fault(hold, "hanging store", w.platform.hang.Store)
	case stepLoseAnswers:
		w.platform.lose = 1 + s.B%4
	case stepApplyConfig:
		w.operators.apply("ana", w.operators.newest())
	case stepRaceApply:
		w.race()
	case stepLeavingNotice:
		in.learnLeaving(w.target(s.B).name)
	case stepLeavingConfig:
		w.operators.leaving[t.name] = !w.operators.leaving[t.name]
		w.operators.apply("ana", w.operators.newest())
	case stepKillTarget:
		t.die(hold)
	case stepFreezeTarget:
		t.frozen = time.Now().Add(hold)
	case stepCrossAnswers:
		t.crossed += 1 + s.B%2
	case stepTruncateAnswers:
		t.truncated += 1 + s.B%2
	case stepBreakAfterWrite:
		t.broken += 1 + s.B%2
	case stepBadVersion:
		w.versionBad = true
	}
}

// fault sets a fault and ends it later. A second fault of the same kind ends
// with the first, which the next step may repeat.
func (w *world) fault(d time.Duration, name string, set func(bool)) {
	set(true)
	w.after(d, func() {
		w.logf("end of %s", name)
		set(false)
	})
}

// race has two operators build on the same generation.
func (w *world) race() {
	expect := w.operators.newest()
	w.operators.apply("ana", expect)
	w.operators.apply("ben", expect)
}

var chatRoutes = []string{"gold-chat", "silver-chat", "bronze-chat"}

// call sends a model request; b selects tier, workspace and length.
func (w *world) call(in *instance, b int, poison bool) {
	tier := b % len(chatRoutes)
	workspace := 1 + b/3%2
	now := time.Now()
	w.requests++
	r := &request{
		id: fmt.Sprintf("r%d", w.requests), workspace: fmt.Sprintf("w%d", workspace),
		route: chatRoutes[tier], tier: scheduler.Rank(tier), key: groupKey{"models", workspace - 1},
		fingerprint: uint64(1000 + w.requests), poison: poison, prompt: 20 + b,
		arrived: now, deadline: now.Add(deadlineOf(tier)),
	}
	if poison {
		r.fingerprint = uint64(b%3 + 1)
	}
	in.entry.accept(r)
}

func deadlineOf(tier int) time.Duration {
	return baseConfig.GetTiers()[tier].GetFirstTokenDeadline().AsDuration()
}

// burst sends many requests of all tiers through all instances.
func (w *world) burst(s step) {
	for i := range 8 + s.A%40 {
		w.after(time.Duration(i*(1+s.B%20))*time.Millisecond, func() { w.call(w.instance(s.A+i), s.B+i, false) })
	}
}

// claimedCall sends a call that must not run twice; callers repeat their keys.
func (w *world) claimedCall(in *instance, key int) {
	now := time.Now()
	w.requests++
	in.entry.accept(&request{
		id: fmt.Sprintf("r%d", w.requests), workspace: "w1", route: "booking", key: groupKey{"app", 0},
		claimKey: fmt.Sprintf("key%d", key), fingerprint: uint64(100 + key), prompt: 1,
		arrived: now, deadline: now.Add(deadlineOf(0)),
	})
}

// repeatPoison has the caller of a crashed request send it again elsewhere.
func (w *world) repeatPoison(r *request) {
	again := int(r.fingerprint) - 1
	w.after(500*time.Millisecond, func() {
		if w.poisonRepeats++; w.poisonRepeats < 8 {
			w.call(w.instance(w.poisonRepeats), again, true)
		}
	})
}
