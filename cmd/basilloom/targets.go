package main

import (
	"fmt"
	"strings"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

type targetsCmd struct{}

// Run prints one line for each target.
func (c *targetsCmd) Run(e *env) error {
	response, err := call(e, e.client.ListTargets, &basilloomv1.ListTargetsRequest{})
	if err != nil {
		return err
	}
	if e.json {
		return e.printMessage(response)
	}
	rows := [][]string{{"TARGET", "POOL", "ZONE", "ADDRESS", "VERSIONS", "STATE", "RUNNING", "PREFILL/S", "DECODE/S", "LOAD SEEN"}}
	for _, t := range response.Targets {
		rows = append(rows, []string{
			t.GetTarget().GetName(),
			t.GetTarget().GetPool(),
			t.GetTarget().GetZone(),
			t.GetTarget().GetAddress(),
			strings.Join(t.GetTarget().GetVersions(), ","),
			t.GetState(),
			fmt.Sprint(t.GetRunning()),
			fmt.Sprintf("%.0f", t.GetPrefillTokensPerSecond()),
			fmt.Sprintf("%.0f", t.GetDecodeTokensPerSecond()),
			formatTime(t.GetLoadSeen()),
		})
	}
	return e.printTable(rows)
}
