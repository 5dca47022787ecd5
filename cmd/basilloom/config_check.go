package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/basilloom/basilloom/platform"
	"github.com/basilloom/basilloom/platform/configcheck"
	"github.com/basilloom/basilloom/routing"
)

type configCheckCmd struct {
	File         string   `arg:"" help:"JSON file with the value of the row op/config."`
	Against      string   `placeholder:"FILE" help:"JSON file with the configuration in force; the differences are listed."`
	Region       []string `placeholder:"NAME" help:"Region of the platform; other names in lists of allowed regions are reported. Repeatable."`
	SettingsFile string   `placeholder:"FILE" help:"Settings file of an instance; its regions are added to those of --region."`
}

// Help is shown after the options.
func (c *configCheckCmd) Help() string {
	return `Exit codes: 0 nothing found, 1 findings, 2 a file cannot be read or is not JSON. Differences are not findings, except a version that is not higher.

Example: basilloom config check next.json --against current.json --region eu --region us`
}

// checkReport is the output of config check with --output json.
type checkReport struct {
	File     string                `json:"file"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []string              `json:"changes"`
}

// Run prints the findings and then the differences. With findings it returns
// errFindings, or errUnreadable if the file could not be checked.
func (c *configCheckCmd) Run(e *env) error {
	regions, err := c.regions()
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	config, findings := platform.CheckConfig(data, regions)
	report := checkReport{File: c.File, Findings: findings, Changes: []string{}}
	if c.Against != "" && !decodeFailed(findings) {
		inForce, err := readConfig(c.Against)
		if err != nil {
			return fmt.Errorf("%w: %w", errUnreadable, err)
		}
		report.Findings = append(report.Findings, configcheck.VersionFinding(inForce, config)...)
		report.Changes = append(report.Changes, configcheck.Changes(inForce, config)...)
	}
	if err := e.printReport(report); err != nil {
		return err
	}
	return report.err()
}

// regions returns the regions of the platform, or none if they were not given.
func (c *configCheckCmd) regions() ([]string, error) {
	if c.SettingsFile == "" {
		return c.Region, nil
	}
	settings, err := platform.SettingsFile{Path: c.SettingsFile}.Load()
	if err != nil {
		return nil, err
	}
	return slices.AppendSeq(slices.Clone(c.Region), maps.Values(settings.Regions)), nil
}

func readConfig(path string) (routing.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return routing.Config{}, err
	}
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return routing.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// decodeFailed reports whether instances refuse the configuration.
func decodeFailed(findings []configcheck.Finding) bool {
	return slices.ContainsFunc(findings, func(f configcheck.Finding) bool { return f.Severity != configcheck.Warning })
}

func (e *env) printReport(report checkReport) error {
	if e.json {
		if report.Findings == nil {
			report.Findings = []configcheck.Finding{}
		}
		encoder := json.NewEncoder(e.stdout)
		encoder.SetEscapeHTML(false) // Changes contain arrows.
		return encoder.Encode(report)
	}
	for _, finding := range report.Findings {
		separator := ": "
		if finding.Line > 0 {
			separator = ":"
		}
		if _, err := fmt.Fprintf(e.stdout, "%s%s%s\n", report.File, separator, finding); err != nil {
			return err
		}
	}
	for _, change := range report.Changes {
		if _, err := fmt.Fprintln(e.stdout, "change:", change); err != nil {
			return err
		}
	}
	return nil
}

// err returns the error that selects the exit code.
func (r checkReport) err() error {
	for _, finding := range r.Findings {
		if finding.Severity == configcheck.Unreadable {
			return fmt.Errorf("%w: %s", errUnreadable, r.File)
		}
	}
	if len(r.Findings) > 0 {
		return fmt.Errorf("%w: %d in %s", errFindings, len(r.Findings), r.File)
	}
	return nil
}
