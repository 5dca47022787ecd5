package main

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
)

type versionCmd struct{}

// buildVersion is the JSON output of the version command.
type buildVersion struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision"`
}

// Run prints the build information that the Go toolchain recorded.
func (c *versionCmd) Run(e *env) error {
	version := buildVersion{Version: "unknown", Revision: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		version.Version, version.Go = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				version.Revision = setting.Value
			}
		}
	}
	if e.json {
		return json.NewEncoder(e.stdout).Encode(version)
	}
	_, err := fmt.Fprintf(e.stdout, "basilloom %s (%s, revision %s)\n", version.Version, version.Go, version.Revision)
	return err
}
