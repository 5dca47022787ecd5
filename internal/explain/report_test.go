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

// Guards against a roll-out whose history cannot be read from the logs.
func TestSummarizeVersionOrders(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"ts":"2026-03-09T02:45:26Z","msg":"version order stopped by this instance","instance":"b","service":"s","version":"v2","reason":"slow"}
{"ts":"2026-03-09T02:45:27Z","msg":"version order phase decided","instance":"a","service":"s","version":"v2","phase":"rolled back","reason":"slow"}
{"ts":"2026-03-09T02:45:20Z","msg":"version order phase decided","instance":"a","service":"s","version":"v2","phase":"canary","reason":"order seen"}
{"ts":"2026-03-09T02:45:25Z","msg":"version order waits","instance":"a","service":"s","version":"v2","reason":"3 of 6 responses seen"}
{"ts":"2026-03-09T02:45:26.1Z","msg":"version order stopped by this instance","instance":"c","service":"s","version":"v2","reason":"slow"}
{"ts":"2026-03-09T02:45:26.2Z","msg":"table copied from a peer","instance":"c","table":"op","version":12}
`))
	require.NoError(t, err)
	var steps []string
	for _, l := range Summarize(lines).VersionOrders {
		require.Equal(t, "s", l.Service)
		require.Equal(t, "v2", l.Version)
		steps = append(steps, l.Instance+" "+l.Message+" "+l.Phase)
	}
	require.Equal(t, []string{
		"a version order phase decided canary", "a version order waits ", "b version order stopped by this instance ",
		"a version order phase decided rolled back",
	}, steps)
}
