package front

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Only the shutdown grace can change without a restart.
func TestReloadReportsSettingsThatNeedARestart(t *testing.T) {
	old := Settings{Name: "a", MemoryMB: 200, FileDescriptors: 3000, ShutdownGrace: 6 * clock.Second}
	changes := map[string]struct {
		change func(*Settings)
		needed bool
	}{
		"nothing":     {func(*Settings) {}, false},
		"grace":       {func(s *Settings) { s.ShutdownGrace++ }, false},
		"memory":      {func(s *Settings) { s.MemoryMB++ }, true},
		"descriptors": {func(s *Settings) { s.FileDescriptors++ }, true},
		"name":        {func(s *Settings) { s.Name = "b" }, true},
	}
	for name, c := range changes {
		core, logged := observer.New(zap.InfoLevel)
		f := New(old, Platform{}, clock.NewBoot(), zap.New(core), NewMetrics())
		s := old
		c.change(&s)
		f.Reload(s)
		require.Equal(t, c.needed, logged.FilterMessage("settings reloaded").All()[0].ContextMap()["restartNeeded"], name)
	}
}

// Sessions leave enough file descriptors for the connections that serve them.
func TestSessionsLeaveDescriptors(t *testing.T) {
	for _, n := range []int{64, 1024, 3010, 8192} {
		require.GreaterOrEqual(t, n-maxSessions(n), min(n/2, reservedDescriptors))
		require.LessOrEqual(t, n-maxSessions(n), max(n-n/2, reservedDescriptors))
	}
	require.Positive(t, maxSessions(0))
}

// bounds are the bounds of a deployment that the template of the settings uses, by the
// platform's names, with the setting that each becomes.
var bounds = map[string]func(*Settings) float64{
	"grace_s":         func(s *Settings) float64 { return s.ShutdownGrace.Std().Seconds() },
	"drain_ms":        func(s *Settings) float64 { return float64(s.DrainLimit) },
	"revocation_ms":   func(s *Settings) float64 { return float64(s.RevocationLimit) },
	"quota_window_s":  func(s *Settings) float64 { return s.Quota.Window.Std().Seconds() },
	"quota_overshoot": func(s *Settings) float64 { return s.Quota.Overshoot },
	"quota_slack":     func(s *Settings) float64 { return s.Quota.Slack },
	"strict_revocation": func(s *Settings) float64 {
		if s.RevocationLimit > 0 {
			return 1
		}
		return 0
	},
}

// renderSettings fills in the template of the settings as the platform does, with values
// by name. A value that is missing is rendered as nothing.
func renderSettings(t *testing.T, values map[string]string) string {
	template, err := os.ReadFile("../../deploy/front.ini.tmpl")
	require.NoError(t, err)
	sections := regexp.MustCompile(`\{\{#([a-z_.]+)\}\}([^{]*)\{\{/[a-z_.]+\}\}`)
	text := sections.ReplaceAllStringFunc(string(template), func(section string) string {
		m := sections.FindStringSubmatch(section)
		if v := values[m[1]]; v == "" || v == "0" || v == "false" {
			return ""
		}
		return m[2]
	})
	return regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`).ReplaceAllStringFunc(text, func(name string) string {
		return values[strings.Trim(name, "{}")]
	})
}

// deployedValues are the values of a deployment, by the platform's names.
func deployedValues() map[string]string {
	return map[string]string{
		"node": "front-1", "zone": "a", "bootstrap": "true", "ip_address": "10.1.0.8",
		"internal_port_range.0": "7440", "internal_port_range.1": "7455",
		"listen_addresses.front": "10.1.0.8:8784", "listen_addresses.ready": "10.1.0.8:8785",
		"platform.address": "10.200.1.7:8783", "cloud_api.address": "10.200.0.160:8783",
		"limits.memory_mb": "206", "limits.file_descriptors": "3010", "limits.cpu_share": "0.272", "limits.cpu_cores": "1",
		"bounds.grace_s": "6", "bounds.drain_ms": "7000", "bounds.strict_revocation": "true", "bounds.revocation_ms": "5000",
		"bounds.quota_window_s": "5", "bounds.quota_overshoot": "0.1", "bounds.quota_slack": "20",
	}
}

// A process must start with each bound that the platform may state: "whole numbers,
// fractions, or true or false" (RECOVER). No proxy started with a grace of 6.5 s.
func TestSettingsAcceptBoundsOfAnyForm(t *testing.T) {
	template, err := os.ReadFile("../../deploy/front.ini.tmpl")
	require.NoError(t, err)
	for _, m := range regexp.MustCompile(`\{\{#?bounds\.([a-z_]+)\}\}`).FindAllStringSubmatch(string(template), -1) {
		require.Contains(t, bounds, m[1], "a bound in the template without a test")
	}
	load := func(values map[string]string) Settings {
		s, err := LoadSettings(writeLog(t, "s.ini", renderSettings(t, values)))
		require.NoError(t, err)
		return s
	}
	load(deployedValues())
	for name, value := range bounds {
		forms := map[string]float64{"6500": 6500, "6500.5": 6500, "6500.0": 6500, "6.5e3": 6500, "6.5E+03": 6500}
		switch name {
		case "grace_s", "quota_window_s":
			forms = map[string]float64{"7": 7, "6.5": 6.5, "0.75": 0.75, "6.0": 6, "6.5e0": 6.5, "1200.25": 1200.25}
		case "quota_overshoot", "quota_slack":
			forms = map[string]float64{"0": 0, "7": 7, "0.25": 0.25, "2.5e1": 25}
		case "strict_revocation":
			forms = map[string]float64{"true": 1, "false": 0}
		}
		for text, want := range forms {
			values := deployedValues()
			values["bounds."+name] = text
			s := load(values)
			require.InDelta(t, want, value(&s), 1e-9, "%s = %s", name, text)
		}
		values := deployedValues()
		delete(values, "bounds."+name)
		load(values)
	}
	for _, name := range []string{"limits.memory_mb", "limits.file_descriptors", "limits.cpu_share", "limits.cpu_cores"} {
		for _, text := range []string{"300", "300.5", ""} {
			values := deployedValues()
			values[name] = text
			load(values)
		}
	}
}

// A leaving database must not get requests for good if its limit is below the margin that
// is kept for requests on their way.
func TestShortDrainLimitIsALimit(t *testing.T) {
	f := New(Settings{Name: "a", DrainLimit: 500}, Platform{}, clock.NewBoot(), zap.NewNop(), NewMetrics())
	require.Positive(t, f.groupLocked("shop").DrainLimit)
}

// A process that starts with an invalid value must serve with the default, and say so, if
// there is one: after an invalid change of the settings, none of the proxies started again.
func TestProcessStartsWithDefaultsForInvalidValues(t *testing.T) {
	for name := range bounds {
		for _, text := range []string{"six", "-1", "1e400", "NaN", "6,5", "yes please"} {
			values := deployedValues()
			values["bounds."+name] = text
			path := writeLog(t, "s.ini", renderSettings(t, values))
			_, err := LoadSettings(path)
			require.Error(t, err, "a running process keeps its settings")
			s, invalid, err := LoadStartSettings(path)
			if name == "revocation_ms" {
				// No limit can take the place of one that is not known.
				require.Error(t, err)
				continue
			}
			require.NoError(t, err, "%s = %s", name, text)
			require.Len(t, invalid, 1)
			require.NotEmpty(t, invalid[0].Default)
			require.Equal(t, text, invalid[0].Value)
			defaults := deployedValues()
			delete(defaults, "bounds."+name)
			if name == "strict_revocation" {
				defaults["bounds."+name] = "true"
			}
			want, err := LoadSettings(writeLog(t, "s.ini", renderSettings(t, defaults)))
			require.NoError(t, err)
			want.PlaceByCapacity = s.PlaceByCapacity
			require.Equal(t, want, s, "%s = %s", name, text)
		}
	}
	for _, name := range []string{"node", "zone", "listen_addresses.front", "platform.address"} {
		values := deployedValues()
		delete(values, name)
		_, _, err := LoadStartSettings(writeLog(t, "s.ini", renderSettings(t, values)))
		require.Error(t, err, name)
	}
}

// A proxy whose name cannot be sent to databases, or be a key of the store, opened no
// connection, or was not known to others. It must not start.
func TestNamesThatCannotBeSentAreInvalid(t *testing.T) {
	load := func(key, name string) error {
		values := deployedValues()
		values[key] = "`" + name + "`"
		_, _, err := LoadStartSettings(writeLog(t, "s.ini", renderSettings(t, values)))
		return err
	}
	long := strings.Repeat("x", maxNameLength)
	for _, name := range []string{"a\tb", "a\nb", "a\r\nb", "a\x00", "a\x7f", "a\xffb", long + "x"} {
		for key, setting := range map[string]string{"node": "name", "zone": "availabilityZone"} {
			var invalid *SettingsError
			require.ErrorAs(t, load(key, name), &invalid, "%s = %q", key, name)
			require.Equal(t, setting, invalid.Key)
		}
	}
	for _, name := range []string{"front 1", "front ", " "} {
		var invalid *SettingsError
		require.ErrorAs(t, load("node", name), &invalid, "%q", name)
	}
	for _, name := range []string{"front-1", "front/1", "frönt", "a,b=c", long} {
		require.NoError(t, load("node", name), "%q", name)
		require.NoError(t, load("zone", name), "%q", name)
	}
	require.NoError(t, load("zone", "zone 1"))
}
