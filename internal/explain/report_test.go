package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against outcomes counted in the wrong second or as another outcome, and
// against a page that lacks a plot or does not escape markup from a log.
func TestSummarize(t *testing.T) {
	lines, err := Read(strings.NewReader(log + `{"ts":"2026-03-09T02:45:24.5Z","msg":"ended","instance":"a","request_id":"r5","status":502,"sends":1,"reason":"<b>broke</b>"}
{"ts":"2026-03-09T02:45:24.6Z","msg":"ended","instance":"a","request_id":"r6","status":200,"sends":1,"complete":false}
{"ts":"2026-03-09T02:45:24.7Z","msg":"ended","instance":"a","request_id":"r7","status":499,"sends":1}
`))
	require.NoError(t, err)
	r := Summarize(lines)
	require.Equal(t, 8, r.Total)
	require.Len(t, r.Seconds, 5)
	require.Equal(t, map[Outcome]int{Served: 1}, r.Seconds[1].Ended)
	require.InDelta(t, 290, r.Seconds[1].First95, 1)
	require.Equal(t, map[Outcome]int{Refused: 1}, r.Seconds[2].Ended)
	require.Equal(t, map[Outcome]int{Rejected: 1}, r.Seconds[3].Ended)
	require.Equal(t, map[Outcome]int{Failed: 2, CallerDisconnected: 3}, r.Seconds[4].Ended)
	require.Len(t, r.Seconds[0].Changes, 1)
	require.Contains(t, r.Reasons, ReasonCount{Outcome: Refused, Status: 503, Reason: "deadline", Count: 1})
	var page bytes.Buffer
	require.NoError(t, r.WritePage(&page))
	require.Equal(t, 2, strings.Count(page.String(), "<svg"))
	require.Contains(t, page.String(), "&lt;b&gt;broke")
	require.NotContains(t, page.String(), "<b>broke")
}
