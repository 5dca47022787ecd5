package fleet

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/telemetry/field"
)

// traffic counts the datagrams that an instance has sent to its peers.
type traffic struct {
	datagrams, bytes atomic.Int64
	// loggedAt, loggedDatagrams and loggedBytes are the state at the last log line. Only
	// the goroutine that sends reports uses them.
	loggedAt                     time.Time
	loggedDatagrams, loggedBytes int64
}

// Traffic returns the number of datagrams sent to peers and their bytes.
func (f *Fleet) Traffic() (datagrams, bytes int64) {
	return f.traffic.datagrams.Load(), f.traffic.bytes.Load()
}

// recordTraffic counts a report and, once per trafficLogPeriod, logs what was sent
// since the last line and what the newest report consists of.
func (f *Fleet) recordTraffic(m *pb.FleetReport, peers, size int, now time.Time) {
	t := &f.traffic
	datagrams := t.datagrams.Add(int64(peers))
	bytes := t.bytes.Add(int64(peers) * int64(size))
	if now.Sub(t.loggedAt) < trafficLogPeriod {
		return
	}
	f.settings.Log.Info("reports sent", zap.Int(field.Peers, peers),
		zap.Int64(field.Datagrams, datagrams-t.loggedDatagrams), zap.Int64(field.Bytes, bytes-t.loggedBytes),
		zap.Int(field.ReportBytes, size), zap.Int(field.Loads, len(m.GetLoads())),
		zap.Int(field.Workspaces, len(m.GetSpending())), zap.Int(field.CrashRecords, len(m.GetCrashes())))
	t.loggedAt, t.loggedDatagrams, t.loggedBytes = now, datagrams, bytes
}
