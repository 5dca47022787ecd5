package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const log = `  1.2 front-a {"level":"info","ts":"2026-03-09T02:45:20Z","msg":"configuration in force","instance":"a","config":12}
not json
{"level":"info","ts":"2026-03-09T02:45:21Z","msg":"sent","instance":"a","request_id":"r1","target":"t1","elapsed":5}
{"level":"info","ts":"2026-03-09T02:45:21.1Z","msg":"sent again","instance":"a","request_id":"r1","target":"t1","after":"unexpected EOF","elapsed":105}
{"level":"info","ts":"2026-03-09T02:45:21.2Z","msg":"sent","instance":"a","request_id":"r1","target":"t2","elapsed":110}
{"level":"info","ts":"2026-03-09T02:45:21.3Z","msg":"ended","instance":"a","request_id":"r1","target":"t2","status":200,"complete":true,"elapsed":300,"first":290,"queued":5}
{"level":"info","ts":"2026-03-09T02:45:22Z","msg":"ended","instance":"a","request_id":"r2","status":503,"reason":"deadline","elapsed":390,"queued":389}
{"level":"info","ts":"2026-03-09T02:45:23Z","msg":"ended","instance":"b","request_id":"r3","status":401,"reason":"unknown key","config":11}
{"level":"info","ts":"2026-03-09T02:45:24Z","msg":"sent","instance":"a","request_id":"r4","target":"t1"}
{"level":"info","ts":"2026-03-09T02:45:24Z","msg":"ended","instance":"a","request_id":"r8","target":"t1","status":499,"sends":1,"elapsed":1980,"patience":2000,"first":30}
{"level":"info","ts":"2026-03-09T02:45:24Z","msg":"ended","instance":"a","request_id":"r9","target":"t1","status":499,"sends":1,"elapsed":500,"patience":2000}
`

const quotaLine = `{"level":"info","ts":"2026-03-09T02:45:25Z","msg":"ended","instance":"a","request_id":"r10","status":429,"workspace":"w","config":12,"cost":7000,"bucket":-300,"share":0.5}`

// Guards against an explanation whose cause contradicts the log lines.
func TestCauses(t *testing.T) {
	lines, err := Read(strings.NewReader(log + quotaLine))
	require.NoError(t, err)
	for id, want := range map[string]string{
		"r1":  "sent again after target t1: unexpected EOF",
		"r2":  "refused as not run after 390 ms, 389 ms of them waiting for a slot: deadline",
		"r3":  "rejected by configuration 11 of b: unknown key",
		"r4":  "log was cut",
		"r8":  "the caller's time of 2000 ms was over after 1980 ms",
		"r9":  "the caller left after 500 ms",
		"r10": "workspace w had used up its quota (configuration 12): the request takes 7000, the bucket was at -300 with 50% of the quota in force on a",
	} {
		e, err := Request(id, lines)
		require.NoError(t, err)
		require.Contains(t, e.Cause, want)
	}
	e, err := Request("r1", lines)
	require.NoError(t, err)
	require.Len(t, e.Lines, 4)
	require.Len(t, e.StateChanges, 1)
	_, err = Request("none", lines)
	require.ErrorIs(t, err, ErrNotFound)
}
