package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/basilloom/basilloom/mirror"
)

// Guards against a copy of the table that is older than this instance's write and undoes what
// the response to it has shown, and against a write that outlives a store that is back from an
// older copy.
func TestOlderCopyDoesNotUndoAWrite(t *testing.T) {
	f := newUnconnectedFleet("a")
	before := rowInGoodOrder("b")
	marked := Row{Member: proto.CloneOf(before.Member), Version: 10}
	marked.Member.Silent = true
	isMarked := func() bool { return f.peers["b"].row.Member.GetSilent() }
	f.SetRows([]Row{before}, mirror.VersionIn(0, 8), time.Now())
	f.SetWritten([]Row{marked}, mirror.VersionIn(0, 10), time.Now())
	require.True(t, isMarked())
	f.SetRows([]Row{before}, mirror.VersionIn(0, 9), time.Now())
	require.True(t, isMarked())
	f.SetRows(nil, mirror.VersionIn(0, 9), time.Now())
	require.True(t, isMarked())
	f.SetRows([]Row{marked}, mirror.VersionIn(0, 11), time.Now())
	require.True(t, isMarked())
	f.SetRows([]Row{before}, mirror.VersionIn(1, 9), time.Now())
	require.False(t, isMarked())
}

// Guards against a part that is released too early, by an instance that has missed that the row
// was cleared and marked again.
func TestEachMarkStartsTheWaitForTheLease(t *testing.T) {
	f := newUnconnectedFleet("a")
	marked := rowInGoodOrder("b")
	marked.Member.Silent = true
	now := time.Now()
	f.SetRows([]Row{marked}, 1, now)
	again := Row{Member: marked.Member, Version: 3}
	f.SetRows([]Row{again}, 3, now.Add(leaseTime))
	require.Empty(t, f.CheckRows(now.Add(leaseTime+leaseMargin), time.Hour).Due)
	due := f.CheckRows(now.Add(2*leaseTime+leaseMargin), time.Hour).Due
	require.Len(t, due, 1)
	require.True(t, due[0].Next.GetReleased())
}
