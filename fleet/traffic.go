package fleet

import (
	"sync"
	"time"

	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/telemetry/field"
)

// traffic counts the datagrams that an instance has sent to its peers.
type traffic struct {
	mu               sync.Mutex
	datagrams, bytes int64
	// loggedAt, loggedDatagrams and loggedBytes are the state at the last log line.
	loggedAt                     time.Time
	loggedDatagrams, loggedBytes int64
}

// Traffic returns the number of datagrams sent to peers and their bytes.
func (f *Fleet) Traffic() (datagrams, bytes int64) {
	f.traffic.mu.Lock()
	defer f.traffic.mu.Unlock()
	return f.traffic.datagrams, f.traffic.bytes
}

// recordTraffic counts a report and, once per trafficLogPeriod, logs what was sent
// since the last line and what the newest report consists of.
func (f *Fleet) recordTraffic(m *pb.FleetReport, peers, size int, now time.Time) {
	t := &f.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	t.datagrams += int64(peers)
	t.bytes += int64(peers) * int64(size)
	if now.Sub(t.loggedAt) < trafficLogPeriod {
		return
	}
	f.settings.Log.Info("reports sent", zap.Int(field.Peers, peers),
		zap.Int64(field.Datagrams, t.datagrams-t.loggedDatagrams), zap.Int64(field.Bytes, t.bytes-t.loggedBytes),
		zap.Int(field.ReportBytes, size), zap.Int(field.Loads, len(m.GetLoads())), zap.Int(field.Relayed, len(m.GetRelayed())),
		zap.Int(field.Workspaces, len(m.GetSpending())), zap.Int(field.CrashRecords, len(m.GetCrashes())))
	t.loggedAt, t.loggedDatagrams, t.loggedBytes = now, t.datagrams, t.bytes
}
