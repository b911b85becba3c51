package operator_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// twoWorkspaces begins at line 10 of a base file.
const twoWorkspaces = `[workspace north]
users = north-app, north-reports
priority = 0
[workspace south.2]
users = south
priority = 3
`

func TestWorkspacesAreDeclared(t *testing.T) {
	config, err := load(t, validBase+twoWorkspaces, "[site]\nname = yakima\n[workspace south.2]\nusers = south,south-reports\n")
	require.NoError(t, err)
	require.Len(t, config.Workspaces, 2)
	require.Equal(t, "north", config.Workspaces[0].Name)
	require.Equal(t, []string{"north-app", "north-reports"}, config.Workspaces[0].Users)
	require.Equal(t, "south.2", config.Workspaces[1].Name)
	require.Equal(t, []string{"south", "south-reports"}, config.Workspaces[1].Users)
	require.Equal(t, 3, config.Workspaces[1].Priority)
	require.Equal(t, "base.ini:13", config.Workspaces[1].Source.String())
}

// An operator must be led to the file, line and key of each fault, before it takes force.
func TestProblemsOfWorkspacesNameFileLineAndKey(t *testing.T) {
	const noRates = "; expected no rate and no burst: this program does not enforce them, oleanderflow-front does"
	with := func(old, replacement string) string {
		text := strings.Replace(twoWorkspaces, old, replacement, 1)
		require.NotEqual(t, twoWorkspaces, text)
		return text
	}
	for name, c := range map[string]struct{ workspaces, overlay, expected string }{
		"declared twice":            {twoWorkspaces + "[workspace north]\nusers = x\n", "", "base.ini:16: [workspace north] declared twice, first in line 10"},
		"declared twice, spaces":    {twoWorkspaces + "[workspace  north]\nusers = x\n", "", "base.ini:16: [workspace  north] workspace north is declared twice, first at base.ini:10; expected one section for each workspace"},
		"user of two":               {with("= south", "= south, north-app"), "", "base.ini:14: [workspace south.2] users: user north-app is held by workspace north, declared at base.ini:10; expected one workspace for each user"},
		"user of two, by overlay":   {twoWorkspaces, "[workspace south.2]\nusers = north-app\n", "site.ini:2: [workspace south.2] users: user north-app is held by workspace north, declared at base.ini:10"},
		"user twice":                {with("north-reports", "north-app"), "", `base.ini:11: [workspace north] users: invalid value "north-app, north-app"; expected roles separated by commas, each once and of at most 63 bytes`},
		"empty user":                {with("north-app,", "north-app,,"), "", `base.ini:11: [workspace north] users: invalid value "north-app,, north-reports"`},
		"long user":                 {with("= south", "= "+strings.Repeat("x", 64)), "", `base.ini:14: [workspace south.2] users: invalid value "xxx`},
		"no users":                  {with("users = south\n", ""), "", "base.ini:13: [workspace south.2] users: required key is missing"},
		"negative priority":         {with("= 3", "= -1"), "", `base.ini:15: [workspace south.2] priority: invalid value "-1"; expected a whole number from 0, the highest, to 100`},
		"priority too low":          {with("= 3", "= 101"), "", `base.ini:15: [workspace south.2] priority: invalid value "101"`},
		"fraction of a priority":    {with("= 3", "= 1.5"), "", `base.ini:15: [workspace south.2] priority: invalid value "1.5"`},
		"negative priority, site":   {twoWorkspaces, "[workspace north]\npriority = -2\n", `site.ini:2: [workspace north] priority: invalid value "-2"`},
		"negative rate":             {twoWorkspaces + "rate = -5\n", "", `base.ini:16: [workspace south.2] rate: invalid value "-5"` + noRates},
		"negative burst":            {twoWorkspaces + "burst = -0.1\n", "", `base.ini:16: [workspace south.2] burst: invalid value "-0.1"` + noRates},
		"no number":                 {twoWorkspaces + "rate = NaN\n", "", `base.ini:16: [workspace south.2] rate: invalid value "NaN"` + noRates},
		"rate":                      {twoWorkspaces + "rate = 60\n", "", "base.ini:16: [workspace south.2] rate: rates of workspaces are not enforced for PostgreSQL callers" + noRates},
		"burst":                     {twoWorkspaces + "burst = 0\n", "", "base.ini:16: [workspace south.2] burst: rates of workspaces are not enforced for PostgreSQL callers" + noRates},
		"unknown key":               {twoWorkspaces + "prioritty = 1\n", "", "base.ini:16: [workspace south.2] prioritty: unknown key; expected one of users, priority; did you mean priority?"},
		"key":                       {twoWorkspaces + "keys = abc\n", "", "base.ini:16: [workspace south.2] keys: unknown key"},
		"key twice":                 {twoWorkspaces + "priority = 1\n", "", "base.ini:16: [workspace south.2] priority: declared twice, first in line 15"},
		"no name":                   {twoWorkspaces + "[workspace]\nusers = x\n", "", "base.ini:16: [workspace] the section lacks a valid name; expected [workspace NAME]"},
		"name of two words":         {twoWorkspaces + "[workspace a b]\nusers = x\n", "", "base.ini:16: [workspace a b] the section lacks a valid name"},
		"name after a dot":          {twoWorkspaces + "[workspace.north]\nusers = x\n", "", "base.ini:16: [workspace.north] the section lacks a valid name; expected [workspace NAME]"},
		"overlay with a new one":    {twoWorkspaces, "[workspace east]\nusers = x\n", "site.ini:1: [workspace east] the base file has no such section"},
		"overlay with a new key":    {twoWorkspaces, "[workspace north]\nrate = 5\n", "site.ini:2: [workspace north] rate: the base file has no such key"},
		"other kinds have no space": {"[group north]\ncustomer = x\n", "", "base.ini:10: [group north] unknown section"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, validBase+c.workspaces, c.overlay)
			var invalid *operator.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), c.expected)
			require.Len(t, invalid.Problems, 1, err)
		})
	}
}

// plan and rollback show what changes by these differences, and history keeps the files.
func TestDifferencesIncludeWorkspaces(t *testing.T) {
	bundle := func(text string) operator.Bundle {
		return operator.Bundle{Base: operator.File{Name: "base.ini", Text: validBase + text}}
	}
	before := bundle(twoWorkspaces)
	after := bundle(strings.Replace(twoWorkspaces, "priority = 3", "priority = 1", 1) + "[workspace east]\nusers = east\n")
	differences, err := operator.Compare(before, after)
	require.NoError(t, err)
	require.Equal(t, []operator.Difference{
		{File: "base.ini", Section: "workspace south.2", Key: "priority", Before: "3", After: "1"},
		{File: "base.ini", Section: "workspace east"},
		{File: "base.ini", Section: "workspace east", Key: "users", After: "east"},
	}, differences)
	content, err := after.Encode()
	require.NoError(t, err)
	decoded, err := operator.DecodeBundle(content, operator.Hash(content))
	require.NoError(t, err)
	require.NoError(t, decoded.Check())
	config, err := decoded.ForSite(operator.NewParser(), "yakima")
	require.NoError(t, err)
	require.Len(t, config.Workspaces, 3)
}

// Whatever an operator writes, it must either be refused with file and line, or give each
// user one workspace with a priority in range, and never a rate that nobody enforces.
func FuzzWorkspaces(f *testing.F) {
	f.Add(twoWorkspaces, "")
	f.Add(twoWorkspaces, "[workspace north]\nusers = south\n")
	f.Add("[workspace  north]\nusers = a,,b\nrate = -1\n[workspace\tnorth]\n", "[workspace north]\npriority = 1e9\n")
	f.Add("[workspace.north]\nusers=\"a,b\"\n[workspace a]\nusers = `x`\nburst\n", "[site]\nname = x\n")
	f.Add("[ workspace x ]\nusers = %(users)s\npriority = +7\n; x\n[workspace y] users = z\n", "")
	f.Fuzz(func(t *testing.T, workspaces, overlay string) {
		config, err := load(t, validBase+workspaces, overlay)
		if err != nil {
			var invalid *operator.InvalidError
			require.ErrorAs(t, err, &invalid)
			for _, p := range invalid.Problems {
				// The check of [failover] is about two keys, of which neither may be set.
				if p.Section != "failover" || p.Key != "suspectAfter" {
					require.NotEmpty(t, p.Source.File)
					require.Positive(t, p.Source.Line)
				}
			}
			return
		}
		names, users := make(map[string]bool), make(map[string]bool)
		for _, w := range config.Workspaces {
			require.False(t, names[w.Name], w.Name)
			names[w.Name] = true
			require.NotEmpty(t, w.Users)
			require.True(t, w.Priority >= 0 && w.Priority <= 100)
			for _, user := range w.Users {
				require.False(t, users[user], user)
				require.Equal(t, strings.TrimSpace(user), user)
				users[user] = true
			}
		}
		bundle := operator.Bundle{Base: operator.File{Name: "base.ini", Text: validBase + workspaces}}
		differences, err := operator.Compare(bundle, bundle)
		require.NoError(t, err)
		require.Empty(t, differences)
	})
}
