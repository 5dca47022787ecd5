package fuzz

import (
	"fmt"
	"time"

	"github.com/basilloom/basilloom/config"
	"github.com/basilloom/basilloom/scheduler"
)

// lowestRank is the rank of the lowest tier of baseFolder.
const lowestRank scheduler.Rank = 2

// operators apply configurations. They access the store directly and do not
// depend on an instance.
type operators struct {
	world    *world
	leaving  map[string]bool
	revision int
	applies  int
}

// apply creates a configuration from the current state and applies it on top of
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
	client := platformClient{world: o.world}
	return config.NewStore(tableClient{client}, objectClient{client}, nil)
}

// newest returns the newest accepted generation, or 0 if the store is unavailable.
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
	duration := time.Second + time.Duration(s.B%8)*time.Second
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
		in.kill(duration)
	case stepPauseInstance:
		in.pause(duration)
	case stepDrainInstance:
		in.drain()
	case stepPartitionRegions:
		w.injectFault(duration, "region partition", func(on bool) { w.network.setPartitioned(on) })
	case stepIsolateInstance:
		w.injectFault(duration, "isolation of "+in.name, func(on bool) { w.network.setIsolated(in.name, on) })
	case stepLoseMessages:
		w.injectFault(duration, "message loss", func(on bool) { w.network.lossy = on })
	case stepReorderMessages:
		w.injectFault(duration, "message reordering", func(on bool) { w.network.reordering = on })
	case stepStoreOutage:
		w.injectFault(2*duration, "store outage", w.platform.outage.Store)
	case stepHangStore:
		w.injectFault(duration, "hanging store", w.platform.hang.Store)
	case stepLoseStoreResponses:
		w.platform.lostResponses = 1 + s.B%4
	case stepApplyConfig:
		w.operators.apply("ana", w.operators.newest())
	case stepRaceApply:
		w.raceApplies()
	case stepLeavingNotice:
		in.receiveLeavingNotice(w.target(s.B).name)
	case stepLeavingConfig:
		w.operators.leaving[t.name] = !w.operators.leaving[t.name]
		w.operators.apply("ana", w.operators.newest())
	case stepCrashTarget:
		t.crash(duration)
	case stepFreezeTarget:
		t.frozenUntil = time.Now().Add(duration)
	case stepMismatchResponses:
		t.mismatched += 1 + s.B%2
	case stepTruncateResponses:
		t.truncated += 1 + s.B%2
	case stepBreakAfterWrite:
		t.broken += 1 + s.B%2
	case stepFailNewVersion:
		w.newVersionFails = true
	}
}

// injectFault sets a fault and ends it after d. If the same fault is already set,
// the end of the first one ends both; a later step may set it again.
func (w *world) injectFault(d time.Duration, name string, set func(bool)) {
	set(true)
	w.after(d, func() {
		w.logf("end of %s", name)
		set(false)
	})
}

// raceApplies makes two operators apply on top of the same generation.
func (w *world) raceApplies() {
	expect := w.operators.newest()
	w.operators.apply("ana", expect)
	w.operators.apply("ben", expect)
}

var chatRoutes = []string{"gold-chat", "silver-chat", "bronze-chat"}

// call sends a model request; b selects its tier, workspace and prompt length.
func (w *world) call(in *instance, b int, poison bool) {
	tier := b % len(chatRoutes)
	workspace := 1 + b/3%2
	now := time.Now()
	w.requests++
	r := &request{
		id: fmt.Sprintf("r%d", w.requests), workspace: fmt.Sprintf("w%d", workspace),
		route: chatRoutes[tier], tier: scheduler.Rank(tier), key: groupKey{"models", workspace - 1},
		fingerprint: uint64(1000 + w.requests), poison: poison, promptTokens: 20 + b,
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

// claimedCall sends a call that must not run twice. The few keys are reused by
// later calls.
func (w *world) claimedCall(in *instance, key int) {
	now := time.Now()
	w.requests++
	in.entry.accept(&request{
		id: fmt.Sprintf("r%d", w.requests), workspace: "w1", route: "booking", key: groupKey{"app", 0},
		claimKey: fmt.Sprintf("key%d", key), fingerprint: uint64(100 + key), promptTokens: 1,
		arrived: now, deadline: now.Add(deadlineOf(0)),
	})
}

// repeatPoison makes the caller of a poison request that was dispatched send it
// again through another instance.
func (w *world) repeatPoison(r *request) {
	operand := int(r.fingerprint) - 1
	w.after(500*time.Millisecond, func() {
		if w.poisonRepeats++; w.poisonRepeats < 8 {
			w.call(w.instance(w.poisonRepeats), operand, true)
		}
	})
}
