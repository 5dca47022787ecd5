package instance

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/crashrows"
	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Limits of the crash records in one report.
const (
	// maxNewRecords bounds the records that peers may not have received yet, and also the
	// served contents.
	maxNewRecords = 8
	// newRecordReports is the number of reports that contain a new record, so that a
	// few lost reports do not delay it.
	newRecordReports = 4
	// rotatedRecords is the number of other records. They reach instances that started
	// or were partitioned when the record was new.
	rotatedRecords = 1
	// repeatedRecords bounds the records of refused contents and prompt parts in each
	// report. An instance that has just started places requests at once and must know them.
	repeatedRecords = 4
)

// crashSource is where crash records come from.
type crashSource int

const (
	// fromGroup records are sent to the peers as new ones.
	fromGroup crashSource = iota
	// fromPeer records have been sent to all peers by the instance that made them.
	fromPeer
	// fromStore records are known to each instance that has read the store since.
	fromStore
)

// reconcilePeriod is the interval at which the owner of the duty compares the stored crash
// evidence with what it knows. It does so as well when the store is back.
const reconcilePeriod = time.Minute

// reconcileCheckPeriod is the interval between checks whether that is due.
const reconcileCheckPeriod = time.Second

// applyCrashes adds records of requests that crash targets and passes changes to the
// groups.
func (i *Instance) applyCrashes(entries []scheduler.CrashEvidence, source crashSource) {
	now := time.Now()
	changed := i.crashes.merge(now, entries, source)
	if len(changed) == 0 {
		return
	}
	quarantined := i.crashes.entries(now)
	i.log.Warn("crash records updated", zap.Int(field.CrashRecords, len(quarantined)))
	for _, e := range changed {
		if source == fromGroup {
			i.storeCrashes(e)
		}
		if e.Served {
			quarantined = append(quarantined, e)
			i.log.Info("crash record cleared, a request with equal content was served", zap.Uint64(field.Fingerprint, e.Fingerprint),
				zap.Strings(field.Targets, e.CrashedTargets))
			continue
		}
		crashes := []zap.Field{zap.Int(field.Crashes, e.Crashes), zap.Strings(field.Targets, e.CrashedTargets)}
		switch {
		case e.Part:
			i.log.Warn("targets crashed under a prompt part", append(crashes, zap.Uint64(field.Part, e.Fingerprint))...)
		case i.crashes.isRefused(now, e.Fingerprint):
			i.log.Warn("targets crashed under requests with equal content", append(crashes, zap.Uint64(field.Fingerprint, e.Fingerprint))...)
		}
	}
	i.shared.SetQuarantined(quarantined)
	i.local.SetQuarantined(quarantined)
}

// storeCrashes writes to the store what a group has learned.
func (i *Instance) storeCrashes(e scheduler.CrashEvidence) {
	if e.Served {
		i.crashRows.Remove(e.Part, e.Fingerprint, e.CrashedTargets)
		return
	}
	i.crashRows.Add(e)
}

// crashesKnown reports whether the crash evidence has been read since the start.
func (i *Instance) crashesKnown() bool {
	select {
	case <-i.crashRows.Ready():
		return true
	default:
		return false
	}
}

// reconcileCrashes compares the stored crash evidence with what is known here if that is the
// duty of this instance.
func (i *Instance) reconcileCrashes(ctx context.Context) {
	ticker := time.NewTicker(reconcileCheckPeriod)
	defer ticker.Stop()
	reconciled := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			isBack := i.operator.LastRecovery().After(reconciled) && !i.operator.StoreUnavailable()
			if now.Sub(reconciled) < reconcilePeriod && !isBack || !i.ownsDuty(crashrows.TableName, now) {
				continue
			}
			if err := i.crashRows.Reconcile(ctx, i.crashes.entries(now)); err != nil {
				i.log.Info("crash evidence not compared with the store", zap.Error(err))
				continue
			}
			reconciled = now
		}
	}
}

// fillCopy adds the crash evidence to the whole copy of a table for a peer.
func (i *Instance) fillCopy(response *pb.FetchTableResponse) {
	if !i.crashRows.HasRead() {
		return
	}
	response.HasCrashes = true
	for _, e := range i.crashes.entries(time.Now()) {
		record := crashRecord(e)
		record.AgeMs = uint32(e.Age.Milliseconds())
		response.Crashes = append(response.Crashes, record)
	}
}

// applyCopy takes the crash evidence that came with a peer's whole copy of a table.
func (i *Instance) applyCopy(response *pb.FetchTableResponse) {
	if !response.GetHasCrashes() {
		return
	}
	i.applyCrashes(crashEvidence(response.GetCrashes()), fromPeer)
	i.crashRows.ReadFromPeer()
}

func crashRecord(e scheduler.CrashEvidence) *pb.CrashRecord {
	return &pb.CrashRecord{
		Fingerprint: e.Fingerprint, ValidMs: uint32(e.ValidFor.Milliseconds()), Died: e.CrashedTargets, Begun: e.Begun,
		Part: e.Part, Crashes: uint32(e.Crashes), Companions: e.Companions,
	}
}

func crashEvidence(records []*pb.CrashRecord) []scheduler.CrashEvidence {
	entries := make([]scheduler.CrashEvidence, 0, len(records))
	for _, c := range records {
		entries = append(entries, scheduler.CrashEvidence{
			Fingerprint: c.GetFingerprint(), ValidFor: time.Duration(c.GetValidMs()) * time.Millisecond, CrashedTargets: c.GetDied(), Begun: c.GetBegun(),
			Part: c.GetPart(), Crashes: int(c.GetCrashes()), Companions: c.GetCompanions(), Age: time.Duration(c.GetAgeMs()) * time.Millisecond,
		})
	}
	return entries
}

// partsBegun clears parts of prompts of which a request has begun to receive its response.
func (i *Instance) partsBegun(parts []uint64) {
	cleared := i.crashes.partsBegun(time.Now(), parts)
	if len(cleared) == 0 {
		return
	}
	for part, targets := range cleared {
		i.crashRows.Remove(true, part, targets)
	}
	i.log.Info("prompt parts cleared", zap.Uint64s(field.SharedParts, parts))
	i.shared.PartsBegun(parts)
	i.local.PartsBegun(parts)
}

// crashes holds this instance's records of requests that crash targets.
type crashes struct {
	mu      sync.Mutex
	records *scheduler.Quarantine
	// unsent holds, by fingerprint, in how many more reports a new record is contained.
	unsent map[uint64]int
	// served holds the contents that were served after crashes, in the order in which they
	// are reported.
	served []servedContent
	// refused and others choose the repeated records of refused contents and prompt parts,
	// and of the rest.
	refused, others rotation
}

// servedContent is an entry of a request that was served and the number of reports that
// still contain it.
type servedContent struct {
	entry   scheduler.CrashEvidence
	reports int
}

func newCrashes() *crashes {
	return &crashes{records: scheduler.NewQuarantine(), unsent: make(map[uint64]int)}
}

// merge adds entries and returns those that changed a record.
func (c *crashes) merge(now time.Time, entries []scheduler.CrashEvidence, source crashSource) []scheduler.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []scheduler.CrashEvidence
	for _, e := range entries {
		if !c.records.Merge(now, []scheduler.CrashEvidence{e}) {
			continue
		}
		changed = append(changed, e)
		switch {
		case source != fromGroup:
		case e.Served:
			c.served = append(c.served, servedContent{e, newRecordReports})
		case !e.Begun:
			c.unsent[e.Fingerprint] = newRecordReports
		}
	}
	return changed
}

// partsBegun clears parts and returns the crashed targets of those for which crashes were
// counted.
func (c *crashes) partsBegun(now time.Time, parts []uint64) map[uint64][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	cleared := make(map[uint64][]string)
	for _, part := range parts {
		if c.records.RecordPartBegun(now, part) {
			cleared[part] = c.records.Known(part, true)
		}
	}
	return cleared
}

// isRefused reports whether requests with the fingerprint are refused.
func (c *crashes) isRefused(now time.Time, fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, _ := c.records.Verdict(now, fingerprint)
	return verdict == scheduler.VerdictQuarantined
}

func (c *crashes) entries(now time.Time) []scheduler.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entriesLocked(now)
}

func (c *crashes) entriesLocked(now time.Time) []scheduler.CrashEvidence {
	c.records.Expire(now)
	return c.records.Entries(now)
}

// forReport returns the records for the next report: new ones, those of refused contents
// and prompt parts, and the next of the others in rotation. Their number does not depend on
// the number of records.
func (c *crashes) forReport(now time.Time) []scheduler.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := mostCrashesFirst(c.entriesLocked(now))
	var report, refused, others []scheduler.CrashEvidence
	inForce := make(map[uint64]bool, len(all))
	for _, e := range all {
		inForce[e.Fingerprint] = true
		switch {
		case c.unsent[e.Fingerprint] > 0 && len(report) < maxNewRecords:
			report = append(report, e)
			c.unsent[e.Fingerprint]--
		case c.unsent[e.Fingerprint] > 0:
		case e.Part && e.Crashes >= scheduler.PartCrashes, !e.Part && e.Crashes >= scheduler.QuarantineCrashes:
			refused = append(refused, e)
		default:
			others = append(others, e)
		}
	}
	maps.DeleteFunc(c.unsent, func(fingerprint uint64, left int) bool { return left == 0 || !inForce[fingerprint] })
	report = append(report, c.refused.next(refused, repeatedRecords)...)
	return append(report, c.others.next(others, rotatedRecords)...)
}

// servedForReport returns the served contents for the next report.
func (c *crashes) servedForReport() []scheduler.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	var report []scheduler.CrashEvidence
	for k := range c.served[:min(len(c.served), maxNewRecords)] {
		report = append(report, c.served[k].entry)
		c.served[k].reports--
	}
	c.served = slices.DeleteFunc(c.served, func(s servedContent) bool { return s.reports == 0 })
	return report
}

// mostCrashesFirst sorts the records by their crashes, and those of prompt parts before
// others with as many.
func mostCrashesFirst(entries []scheduler.CrashEvidence) []scheduler.CrashEvidence {
	slices.SortStableFunc(entries, func(a, b scheduler.CrashEvidence) int {
		switch {
		case a.Crashes != b.Crashes:
			return cmp.Compare(b.Crashes, a.Crashes)
		case a.Part == b.Part:
			return 0
		case a.Part:
			return -1
		}
		return 1
	})
	return entries
}

// rotation chooses records in turn.
type rotation struct {
	// last is the fingerprint of the last record chosen.
	last uint64
}

// next returns up to n entries that follow the last ones in the order of fingerprints.
func (r *rotation) next(entries []scheduler.CrashEvidence, n int) []scheduler.CrashEvidence {
	slices.SortFunc(entries, func(a, b scheduler.CrashEvidence) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	next := 0
	for next < len(entries) && entries[next].Fingerprint <= r.last {
		next++
	}
	var chosen []scheduler.CrashEvidence
	for range min(n, len(entries)) {
		e := entries[next%len(entries)]
		chosen = append(chosen, e)
		r.last = e.Fingerprint
		next++
	}
	return chosen
}
