package instance

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/quota"
)

// spendingRepeatTime is how long a changed amount is repeated in partial reports, because
// reports may be lost. Complete reports repeat all amounts.
const spendingRepeatTime = 1500 * time.Millisecond

// spendingReports selects the spending that each report holds. Most workspaces send
// nothing for seconds, and a large fleet has many of them.
type spendingReports struct {
	mu      sync.Mutex
	amounts map[uint32]reportedAmount
}

type reportedAmount struct {
	amount    uint64
	changedAt time.Time
}

// entries returns the amounts of all workspaces or, for a partial report, those that
// changed within spendingRepeatTime.
func (s *spendingReports) entries(usage quota.Usage, levels quota.Levels, partial bool, now time.Time) []*pb.WorkspaceSpending {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.amounts == nil {
		s.amounts = make(map[uint32]reportedAmount)
	}
	var entries []*pb.WorkspaceSpending
	add := func(workspace uint32, amount float64) {
		spent := uint64(amount)
		last := s.amounts[workspace]
		if spent != last.amount {
			last = reportedAmount{amount: spent, changedAt: now}
			s.amounts[workspace] = last
		}
		if partial && now.Sub(last.changedAt) > spendingRepeatTime {
			return
		}
		entry := &pb.WorkspaceSpending{Workspace: workspace, Amount: spent}
		if level, ok := levels[workspace]; ok {
			entry.Level = proto.Int64(int64(level))
		}
		entries = append(entries, entry)
	}
	for workspace, amount := range usage {
		add(workspace, amount)
	}
	for workspace := range levels {
		if _, spent := usage[workspace]; !spent {
			add(workspace, 0)
		}
	}
	return entries
}
