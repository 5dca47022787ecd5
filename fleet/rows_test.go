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
