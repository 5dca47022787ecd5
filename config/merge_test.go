package config

import (
	"os"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const base = `
regions: [{name: r1, zones: [z1]}]
tiers: [{name: top, rank: 0, first_token_deadline: 1.8s}, {name: low, rank: 1, first_token_deadline: 9s}]
pools: [{name: p, kind: POOL_KIND_ENGINE}]
workspaces: [{name: w, token_sha256: "1111111111111111111111111111111111111111111111111111111111111111", max_tier: low}]
targets: [{name: t1, pool: p, region: r1, zone: z1, address: "http://10.0.0.1:80"}]
routes: [{name: plans, model: m, pool: p, tier: top, version: v1}]
`

func folder(files ...string) fstest.MapFS {
	names := []string{"10-a.yaml", "20-b.yaml", "30-c.yaml"}
	fsys := fstest.MapFS{}
	for i, text := range files {
		fsys[names[i]] = &fstest.MapFile{Data: []byte(text)}
	}
	return fsys
}

func testConfig(t require.TestingT, change string) *basilloomv1.Config {
	config, err := Read(folder(base, change), testNow)
	require.NoError(t, err)
	return config
}

// Guards against a faulty configuration that is accepted, or reported without the
// file, the field or the other faults of the folder.
func TestReadReportsFaults(t *testing.T) {
	move := func(fields string) string {
		return "moves: [{name: mv, route: plans, from: v1, to: v2, deadline: 2030-01-01T00:00:00Z, steps: [5, 100], step_time: 60s}" + fields + "]"
	}
	cases := []struct {
		name  string
		files []string
		want  []string
	}{
		{"empty folder", nil, []string{"folder contains no .yaml file"}},
		{"empty file", []string{base, "# nothing\n"}, []string{"20-b.yaml: file is empty"}},
		{"second document", []string{base, "---\nlimits: {}\n---\nroutes: []\n"}, []string{"20-b.yaml: file contains more than one YAML document"}},
		{"invalid YAML", []string{"tiers: ["}, []string{"10-a.yaml: invalid YAML: line 1: did not find expected node content"}},
		{"top is a list", []string{"[1]"}, []string{"10-a.yaml: wrong type: must be an object"}},
		{"repeated field", []string{"tiers:\n- name: a\n  rank: 0\n  rank: 1\n"}, []string{"10-a.yaml: rank: repeated field (line 4)"}},
		{"all faults at once", []string{"rotes: []\nroutes: [{name: a}, {name: b, teir: x, pool: [p]}]\n", "tiers: [{name: q, rank: '1', first_token_deadline: 2, token_interval: }]"}, []string{
			"10-a.yaml: rotes: unknown field",
			"10-a.yaml: routes[1].pool: wrong type: must be a string, in quotes if it looks like another type",
			"10-a.yaml: routes[1].teir: unknown field",
			"20-b.yaml: tiers[0].first_token_deadline: wrong type: must be a duration such as 1.5s",
			"20-b.yaml: tiers[0].rank: wrong type: must be an integer in range",
			"20-b.yaml: tiers[0].token_interval: value is missing"}},
		{"types", []string{"regions: {}\nlimits: 3\npools: [{name: p, kind: ENGINE}, 4]\nmoves: [{name: m, steps: [5, x], deadline: soon}]\nroutes: [{name: 7, cancellable: 1}]"}, []string{
			"10-a.yaml: limits: wrong type: must be an object",
			"10-a.yaml: moves[0].deadline: wrong type: must be an RFC 3339 time such as 2026-01-31T12:00:00Z",
			"10-a.yaml: moves[0].steps[1]: wrong type: must be a number",
			"10-a.yaml: pools[0].kind: wrong type: must be one of POOL_KIND_ENGINE, POOL_KIND_SERVICE",
			"10-a.yaml: pools[1]: wrong type: must be an object",
			"10-a.yaml: regions: wrong type: must be a list",
			"10-a.yaml: routes[0].cancellable: wrong type: must be true or false",
			"10-a.yaml: routes[0].name: wrong type: must be a string, in quotes if it looks like another type"}},
		{"two of one name", []string{base, "tiers: [{name: x, rank: 2}, {name: x, rank: 3}]"}, []string{`20-b.yaml: tiers[1].name: tier "x" occurs twice in this file`}},
		{"names", []string{base, "pools: [{kind: POOL_KIND_SERVICE}, {name: a/b, kind: POOL_KIND_SERVICE}]"}, []string{
			"20-b.yaml: pools[1].name: value is missing",
			`20-b.yaml: pool "a/b": name: must be at most 63 letters, digits, dots, hyphens and underscores`}},
		{"references", []string{base, "routes: [{name: x, model: other, pool: q, tier: t, workspaces: [w, u]}]\nworkspaces: [{name: v, token_sha256: AB, max_tier: t}]\ntargets: [{name: t2, pool: q, region: r1, zone: z9, address: 'http://host:80'}, {name: t3, pool: p, region: r9, zone: z1, address: 'https://10.0.0.2:80'}]\nlinks: [{name: l, from_region: r1, to_region: r1, bits_per_second: -1}]"}, []string{
			`20-b.yaml: link "l": bits_per_second: must not be negative`,
			`20-b.yaml: link "l": to_region: must differ from from_region`,
			`20-b.yaml: workspace "v": token_sha256: must be 64 lower-case hexadecimal digits`,
			`20-b.yaml: workspace "v": max_tier: unknown tier "t"`,
			`20-b.yaml: target "t2": pool: unknown pool "q"`,
			`20-b.yaml: target "t2": zone: unknown zone "z9" in region "r1"`,
			`20-b.yaml: target "t2": address: must be an http URL with a numeric IP address and a port, without a path`,
			`20-b.yaml: target "t3": region: unknown region "r9"`,
			`20-b.yaml: target "t3": address: must be an http URL with a numeric IP address and a port, without a path`,
			`20-b.yaml: route "x": pool: unknown pool "q"`,
			`20-b.yaml: route "x": tier: unknown tier "t"`,
			`20-b.yaml: route "x": workspaces[1]: unknown workspace "u"`}},
		{"routes", []string{base, "routes: [{name: a, model: m, pool: p, tier: top}, {name: b, pool: p, tier: top}, {name: c, model: x, path_prefix: /x, pool: p, tier: top}, {name: d, path_prefix: /x/, pool: p, tier: top}]"}, []string{
			`20-b.yaml: route "a": model: "m" is already used by route "plans"`,
			`20-b.yaml: route "b": model: exactly one of model and path_prefix must be set`,
			`20-b.yaml: route "c": model: exactly one of model and path_prefix must be set`,
			`20-b.yaml: route "d": path_prefix: "/x" is already used by route "c"`}},
		{"tiers", []string{base, "tiers: [{name: a, rank: 1, first_token_deadline: 1s}, {name: b, rank: 7, first_token_deadline: -1s}]\nlimits: {max_body_bytes: -1}"}, []string{
			`20-b.yaml: tier "b": first_token_deadline: must be greater than 0s`,
			`20-b.yaml: limits: max_body_bytes: must not be negative`,
			`20-b.yaml: tier "a": rank: rank 1 is already used by tier "low"`,
			`20-b.yaml: tier "b": rank: ranks of 4 tiers must be 0 to 3 without a gap`}},
		{"moves", []string{base, move(", {name: m2, route: plans, from: v1, to: v1, deadline: 2026-01-01T00:00:00Z, steps: [5, 5, 101], step_time: 0s}")}, []string{
			`20-b.yaml: move "m2": step_time: must be greater than 0s`,
			`20-b.yaml: move "m2": route: route "plans" already has move "mv"`,
			`20-b.yaml: move "m2": to: must differ from from`,
			`20-b.yaml: move "m2": deadline: 2026-01-01T00:00:00Z has passed`,
			`20-b.yaml: move "m2": steps[1]: shares must rise within 0 to 100`,
			`20-b.yaml: move "m2": steps[2]: shares must rise within 0 to 100`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config, err := Read(folder(c.files...), testNow)
			require.Nil(t, config)
			var faults Errors
			require.ErrorAs(t, err, &faults)
			got := make([]string, len(faults))
			for i, fault := range faults {
				got[i] = fault.Error()
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against a replaced object whose fields remain in the result, and against a
// fault of the replacing object that names the file of the replaced one.
func TestMergeReplacesWholeObjects(t *testing.T) {
	files := folder(base, "routes: [{name: plans, model: m, pool: p, tier: low}]")
	config, err := Read(files, testNow)
	require.NoError(t, err)
	require.Len(t, config.Routes, 1)
	require.Equal(t, "low", config.Routes[0].Tier)
	require.Empty(t, config.Routes[0].Version)
	require.Equal(t, basilloomv1.PoolKind_POOL_KIND_ENGINE, config.Pools[0].Kind)
}

// Guards against examples that operators cannot apply.
func TestExamplesAreValid(t *testing.T) {
	for name, targets := range map[string]int{"plumage-box": 9 + 3, "clearwater": 12 + 3} {
		config, err := Read(os.DirFS("../examples/"+name), testNow)
		require.NoError(t, err, name)
		counts := []int{len(config.Targets), len(config.Regions), len(config.Tiers), len(config.Workspaces), len(config.Routes), len(config.Moves)}
		require.Equal(t, []int{targets, 2, 5, 5, 5, 1}, counts, name)
	}
}

// Guards against a file that makes the merge panic.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(base), []byte("limits: {max_body_bytes: 1}"))
	f.Add([]byte("a: &a [*a]"), []byte("---\n? [x]\n: 1e999"))
	f.Add([]byte("tiers: [{name: !!binary x, rank: .inf}]"), []byte("moves: [{steps: [.nan], 1: 2}]"))
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		_, _ = Read(folder(string(first), string(second)), testNow)
	})
}
