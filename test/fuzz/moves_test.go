package fuzz

import (
	"github.com/basilloom/basilloom/membership"
)

// This file is a simplified model of version moves without packages moves and
// controller: a fixed share of the model requests goes to the new version, and an
// entry that sees it fail publishes a stop as a real membership fact. To connect
// the two packages, call them in chooseVersion, versionAllowed and
// observeVersion; the oracle's checks of invariant 3 need no change.
const (
	oldVersion = "v1"
	newVersion = "v2"
	// moveShare is the share of model requests that goes to the new version.
	moveShare = 20 // percent
	// stopFailures is the number of failures at one entry that stop the new version.
	stopFailures = 2
	moveName     = "v1-to-v2"
)

// moveEvidence counts the failures of the new version at one entry.
type moveEvidence struct{ failures int }

func newMoveEvidence() *moveEvidence { return &moveEvidence{} }

// chooseVersion returns the version that a request runs on.
func (in *instance) chooseVersion(r *request) string {
	if r.key.pool != "models" {
		return ""
	}
	inShare := versionHash(r.id)%100 < moveShare
	if inShare && (in.versionAllowed(newVersion) || in.world.defect.ignoresStop()) {
		return newVersion
	}
	return oldVersion
}

// versionAllowed reports whether requests may still be dispatched to the version.
func (in *instance) versionAllowed(version string) bool {
	return version != newVersion || in.world.defect.ignoresStop() || len(in.facts.Snapshot().Stops) == 0
}

// observeVersion counts a failure of the new version and stops the version after
// stopFailures of them.
func (in *instance) observeVersion(r *request, failed bool) {
	if r.version != newVersion || !failed {
		return
	}
	in.moves.failures++
	if in.moves.failures < stopFailures {
		return
	}
	stop := membership.Stop{StopKey: membership.StopKey{Move: moveName, Generation: 1}, Reason: "failures"}
	if in.facts.MergeStop(stop) {
		in.world.logf("instance %s stops version %s", in.name, newVersion)
		in.world.oracle.recordStop(in)
		in.pushUrgent()
	}
}
