package instance

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/basilloom/basilloom/scheduler"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Limits of the crash records in one report.
const (
	// maxNewRecords bounds the records that peers may not have received yet.
	maxNewRecords = 8
	// newRecordReports is the number of reports that contain a new record, so that a
	// few lost reports do not delay it.
	newRecordReports = 4
	// rotatedRecords is the number of other records. They reach instances that started
	// or were partitioned when the record was new.
	rotatedRecords = 1
)

// crashSource is where crash records come from.
type crashSource int

const (
	// fromGroup records are sent to the peers as new ones.
	fromGroup crashSource = iota
	// fromPeer records have been sent to all peers by the instance that made them.
	fromPeer
)

// applyCrashes adds records of requests that crash targets and passes changes to the
// groups.
func (i *Instance) applyCrashes(entries []scheduler.QuarantineEntry, source crashSource) {
	now := time.Now()
	changed := i.crashes.merge(now, entries, source)
	if len(changed) == 0 {
		return
	}
	quarantined := i.crashes.entries(now)
	i.log.Warn("crash records updated", zap.Int(field.CrashRecords, len(quarantined)))
	for _, e := range changed {
		if e.Part {
			i.log.Warn("targets crashed under a prompt part", zap.Uint64(field.Part, e.Fingerprint),
				zap.Int(field.Crashes, e.Crashes), zap.Strings(field.Targets, e.CrashedTargets))
		}
	}
	i.shared.SetQuarantined(quarantined)
	i.local.SetQuarantined(quarantined)
}

// partsBegun clears parts of prompts of which a request has begun to receive its response.
func (i *Instance) partsBegun(parts []uint64) {
	if !i.crashes.partsBegun(time.Now(), parts) {
		return
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
	// rotated is the fingerprint of the last record sent in rotation.
	rotated uint64
}

func newCrashes() *crashes {
	return &crashes{records: scheduler.NewQuarantine(), unsent: make(map[uint64]int)}
}

// merge adds entries and returns those that changed a record.
func (c *crashes) merge(now time.Time, entries []scheduler.QuarantineEntry, source crashSource) []scheduler.QuarantineEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []scheduler.QuarantineEntry
	for _, e := range entries {
		if !c.records.Merge(now, []scheduler.QuarantineEntry{e}) {
			continue
		}
		changed = append(changed, e)
		if source == fromGroup && !e.Begun {
			c.unsent[e.Fingerprint] = newRecordReports
		}
	}
	return changed
}

// partsBegun clears parts and reports whether crashes were counted for one of them.
func (c *crashes) partsBegun(now time.Time, parts []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cleared := false
	for _, part := range parts {
		cleared = c.records.RecordPartBegun(now, part) || cleared
	}
	return cleared
}

func (c *crashes) entries(now time.Time) []scheduler.QuarantineEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entriesLocked(now)
}

func (c *crashes) entriesLocked(now time.Time) []scheduler.QuarantineEntry {
	c.records.Expire(now)
	return c.records.Entries(now)
}

// forReport returns the records for the next report: new ones, those of prompt parts
// first, and the next ones in rotation. Their number does not depend on the number of
// records.
func (c *crashes) forReport(now time.Time) []scheduler.QuarantineEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.entriesLocked(now)
	var report, sent []scheduler.QuarantineEntry
	inForce := make(map[uint64]bool, len(all))
	for _, part := range []bool{true, false} {
		for _, e := range all {
			if e.Part != part {
				continue
			}
			inForce[e.Fingerprint] = true
			switch {
			case c.unsent[e.Fingerprint] == 0:
				sent = append(sent, e)
			case len(report) < maxNewRecords:
				report = append(report, e)
				c.unsent[e.Fingerprint]--
			}
		}
	}
	maps.DeleteFunc(c.unsent, func(fingerprint uint64, left int) bool { return left == 0 || !inForce[fingerprint] })
	slices.SortFunc(sent, func(a, b scheduler.QuarantineEntry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return append(report, c.rotate(sent)...)
}

// rotate returns the entries that follow the last rotated one; the entries are sorted
// by fingerprint.
func (c *crashes) rotate(entries []scheduler.QuarantineEntry) []scheduler.QuarantineEntry {
	next := 0
	for next < len(entries) && entries[next].Fingerprint <= c.rotated {
		next++
	}
	var rotated []scheduler.QuarantineEntry
	for range min(rotatedRecords, len(entries)) {
		e := entries[next%len(entries)]
		rotated = append(rotated, e)
		c.rotated = e.Fingerprint
		next++
	}
	return rotated
}
