package fuzz

import (
	"github.com/basilloom/basilloom/membership"
)

// This file holds the place of version moves. Packages moves and controller are
// not part of this branch: until they are, a fixed share of the model requests
// goes to the new version, and an entry that sees it fail spreads a stop as a
// real membership fact. When they arrive, chooseVersion, versionAllowed and
// observeVersion call them, and the oracle's checks of invariant 3 stay as they are.
const (
	goodVersion = "v1"
	badVersion  = "v2"
	// moveShare is the part of the model requests that the new version gets.
	moveShare = 20 // percent
	// stopFailures failures of the new version at one entry stop it.
	stopFailures = 2
	moveName     = "v1-to-v2"
)

// moveEvidence counts what one entry saw of the new version.
type moveEvidence struct{ failures int }

func newMoveEvidence() *moveEvidence { return &moveEvidence{} }

// chooseVersion returns the version that a request runs on.
func (in *instance) chooseVersion(r *request) string {
	if r.key.pool != "models" {
		return ""
	}
	inShare := versionHash(r.id)%100 < moveShare
	if inShare && (in.versionAllowed(badVersion) || in.world.defect.ignoresStop()) {
		return badVersion
	}
	return goodVersion
}

// versionAllowed reports whether requests may still be dispatched to the version.
func (in *instance) versionAllowed(version string) bool {
	return version != badVersion || in.world.defect.ignoresStop() || len(in.facts.Snapshot().Stops) == 0
}

// observeVersion records how a dispatched request went.
func (in *instance) observeVersion(r *request, failed bool) {
	if r.version != badVersion || !failed {
		return
	}
	in.moves.failures++
	if in.moves.failures < stopFailures {
		return
	}
	stop := membership.Stop{StopKey: membership.StopKey{Move: moveName, Generation: 1}, Reason: "failures"}
	if in.facts.MergeStop(stop) {
		in.world.logf("instance %s stops version %s", in.name, badVersion)
		in.world.oracle.stopKnown(in)
		in.pushUrgent()
	}
}
