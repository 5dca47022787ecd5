package instance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/scheduler"
)

// crashEntries returns records of n requests, each of which ran on one crashed target.
func crashEntries(n int) []scheduler.CrashEvidence {
	var entries []scheduler.CrashEvidence
	for k := range n {
		entries = append(entries, scheduler.CrashEvidence{
			Fingerprint: rand.Uint64() | 1, ValidFor: time.Minute, CrashedTargets: []string{fmt.Sprintf("i-%010x", k)},
		})
	}
	return entries
}

// Guards against reports that grow with the number of crash records and fill the links
// between the instances.
func TestReportSizeDoesNotGrowWithCrashRecords(t *testing.T) {
	i := newTestEnv(t).assemble("i1")
	size := func() int {
		m := &pb.FleetReport{}
		i.fillReport(m)
		return proto.Size(m)
	}
	i.applyCrashes(crashEntries(20), fromGroup)
	largest := 0
	for range 20 {
		largest = max(largest, size())
	}
	i.applyCrashes(crashEntries(1000), fromGroup)
	for range 20 {
		require.LessOrEqual(t, size(), largest)
	}
}

// Guards against crash records that do not reach a peer because reports are lost, and
// against records that an instance that starts later never receives.
func TestCrashRecordsReachPeers(t *testing.T) {
	const reportPeriod, contact = 200 * time.Millisecond, 4 * time.Second
	now := time.Now()
	sender, peer, late := newCrashes(), newCrashes(), newCrashes()
	sender.merge(now, crashEntries(40), fromGroup)
	rng := rand.New(rand.NewPCG(1, 1))
	for range contact / reportPeriod {
		report := sender.forReport(now)
		if rng.IntN(4) > 0 {
			peer.merge(now, report, fromPeer)
		}
	}
	require.Len(t, peer.entries(now), 40)
	for range 2 * 40 {
		late.merge(now, sender.forReport(now), fromPeer)
	}
	require.Len(t, late.entries(now), 40)
}

// Guards against an instance that suspects a request although it was served at another one,
// and against reports that grow with the number of such requests.
func TestServedContentsReachPeers(t *testing.T) {
	const contents = 40
	now := time.Now()
	i, peer := newTestEnv(t).assemble("i1"), newTestEnv(t).assemble("i2")
	entries := crashEntries(contents)
	i.applyCrashes(entries, fromGroup)
	peer.applyCrashes(entries, fromPeer)
	require.Len(t, peer.crashes.entries(now), contents)
	for k := range entries {
		entries[k].Served = true
	}
	i.applyCrashes(entries, fromGroup)
	for range newRecordReports * contents / maxNewRecords {
		m := &pb.FleetReport{Instance: "i1"}
		i.fillReport(m)
		require.LessOrEqual(t, len(m.GetServedContents()), maxNewRecords)
		peer.applyReport(m)
	}
	require.Empty(t, peer.crashes.entries(now))
	m := &pb.FleetReport{}
	i.fillReport(m)
	require.Empty(t, m.GetServedContents(), "each is sent a few times only")
}

// Guards against an instance that starts, owns a broker at once and does not know the
// quarantined prompt parts, because the records take their turn among many others.
func TestQuarantinedPartsAreInEachReport(t *testing.T) {
	now := time.Now()
	sender := newCrashes()
	sender.merge(now, crashEntries(100), fromGroup)
	part := scheduler.CrashEvidence{Fingerprint: 7, Part: true, Crashes: scheduler.PartCrashes, ValidFor: time.Minute, CrashedTargets: []string{"a", "b"}}
	sender.merge(now, []scheduler.CrashEvidence{part}, fromGroup)
	for range 200 {
		late := newCrashes()
		late.merge(now, sender.forReport(now), fromPeer)
		require.True(t, slices.ContainsFunc(late.entries(now), func(e scheduler.CrashEvidence) bool {
			return e.Fingerprint == part.Fingerprint && e.Crashes == part.Crashes
		}))
	}
}

// Guards against an instance that starts and sends a refused request to targets, because
// the record takes its turn among many others, and against a record that waits behind those
// of requests that were beside it.
func TestRefusedContentsAreInEachReport(t *testing.T) {
	now := time.Now()
	sender := newCrashes()
	sender.merge(now, crashEntries(100), fromGroup)
	content := scheduler.CrashEvidence{Fingerprint: math.MaxUint64, Crashes: scheduler.QuarantineCrashes, ValidFor: time.Minute, CrashedTargets: []string{"a", "b"}}
	sender.merge(now, []scheduler.CrashEvidence{content}, fromGroup)
	for range 200 {
		late := newCrashes()
		late.merge(now, sender.forReport(now), fromPeer)
		require.True(t, late.isRefused(now, content.Fingerprint))
	}
}
