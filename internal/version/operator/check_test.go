package operator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const validBase = `[group.shop1]
customer = shop
[database.shop1.a]
address = 127.0.0.1:5001
zone = a
[read.stock]
group = shop1
application = stock
maxAge = 2s
`

func load(t *testing.T, base, overlay string) (*operator.Configuration, error) {
	t.Helper()
	name := ""
	if overlay != "" {
		name = "site.ini"
	}
	config, _, err := operator.Load("base.ini", []byte(base), name, []byte(overlay))
	return config, err
}

func TestProblemsNameFileLineKeyAndNearest(t *testing.T) {
	for name, c := range map[string]struct{ base, overlay, expected string }{
		"unknown key":         {strings.Replace(validBase, "customer", "costumer", 1), "", "base.ini:2: [group.shop1] costumer: unknown key; expected one of customer, durability, connections, homes, user, passwordFile, tls, commitWait, writeWait; did you mean customer?"},
		"unknown section":     {strings.Replace(validBase, "[read.", "[raed.", 1), "", "base.ini:6: [raed.stock] unknown section; expected one of site, limits, reads, failover, spread, group, database, read, class, workspace; did you mean read?"},
		"wrong unit":          {strings.Replace(validBase, "2s", "2 seconds", 1), "", `base.ini:9: [read.stock] maxAge: invalid value "2 seconds"; expected a time from 1ms to 24h`},
		"out of range":        {strings.Replace(validBase, "2s", "48h", 1), "", `base.ini:9: [read.stock] maxAge: invalid value "48h"`},
		"host name":           {strings.Replace(validBase, "127.0.0.1", "localhost", 1), "", `base.ini:4: [database.shop1.a] address: invalid value "localhost:5001"; expected an IP number and port`},
		"missing key":         {strings.Replace(validBase, "zone = a\n", "", 1), "", "base.ini:3: [database.shop1.a] zone: required key is missing"},
		"no such group":       {strings.Replace(validBase, "group = shop1", "group = shop2", 1), "", "base.ini:6: [read.stock] group: no such group: shop2; expected a declared group; did you mean shop1?"},
		"no databases":        {validBase + "[group.shop9]\ncustomer = x\n", "", "base.ini:10: [group.shop9] the group has 0 databases; expected an odd number from 1 to 9"},
		"declared twice":      {validBase + "[group.shop1]\ncustomer = x\n", "", "base.ini:10: [group.shop1] declared twice, first in line 1"},
		"key twice":           {strings.Replace(validBase, "customer = shop\n", "customer = shop\ncustomer = x\n", 1), "", "base.ini:3: [group.shop1] customer: declared twice, first in line 2"},
		"overlay new section": {validBase, "[group.shop2]\nconnections = 5\n", "site.ini:1: [group.shop2] the base file has no such section"},
		"overlay new key":     {validBase, "[group.shop1]\nconnections = 5\n", "site.ini:2: [group.shop1] connections: the base file has no such key"},
		"short suspectAfter":  {validBase + "[failover]\nprobeInterval = 100ms\nsuspectAfter = 200ms\n", "", "suspectAfter: a primary would be suspected after fewer than three missed probes"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, c.base, c.overlay)
			var invalid *operator.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), c.expected)
		})
	}
}

func TestOverlayReplacesOnlyItsOwnKeys(t *testing.T) {
	config, err := load(t, validBase, "[site]\nname = yakima\n[read.stock]\nmaxAge = 5s\n")
	require.NoError(t, err)
	require.Equal(t, "yakima", config.Site)
	require.Equal(t, 5*clock.Second, config.ReadRules[0].MaxAge)
	require.Equal(t, "stock", config.ReadRules[0].Application)
}

func TestExamplesAreValid(t *testing.T) {
	bases, err := filepath.Glob("../../../examples/*/base.ini")
	require.NoError(t, err)
	require.Len(t, bases, 2)
	for _, name := range bases {
		bundle := operator.Bundle{Base: readFile(t, name)}
		overlays, err := filepath.Glob(filepath.Join(filepath.Dir(name), "*.ini"))
		require.NoError(t, err)
		for _, o := range overlays {
			if o != name {
				bundle.Overlays = append(bundle.Overlays, readFile(t, o))
			}
		}
		require.NoError(t, bundle.Check())
		require.NotEmpty(t, bundle.Overlays)
	}
}

func readFile(t *testing.T, name string) operator.File {
	t.Helper()
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	return operator.File{Name: filepath.Base(name), Text: string(content)}
}

func TestEncodeIgnoresOverlayOrder(t *testing.T) {
	a, b := operator.File{Name: "a.ini"}, operator.File{Name: "b.ini"}
	one, err := operator.Bundle{Overlays: []operator.File{a, b}}.Encode()
	require.NoError(t, err)
	two, err := operator.Bundle{Overlays: []operator.File{b, a}}.Encode()
	require.NoError(t, err)
	require.Equal(t, one, two)
}

// FuzzLoad checks that Load does not panic on any base file and overlay.
func FuzzLoad(f *testing.F) {
	f.Add(validBase, "[site]\nname = yakima\n")
	f.Add("[group.]\n=\n", "[")
	f.Fuzz(func(_ *testing.T, base, overlay string) {
		_, _, _ = operator.Load("base.ini", []byte(base), "site.ini", []byte(overlay))
	})
}

// A class without a deadline has that of [limits], wherever that stands.
func TestClassDeadlineIsThatOfLimits(t *testing.T) {
	const limits, class = "[limits]\nqueueTimeout = 3s\n", "[class.bookings]\napplication = bookings\n"
	for _, base := range []string{validBase + limits + class, validBase + class + limits} {
		config, err := load(t, base, "")
		require.NoError(t, err)
		require.Equal(t, 3*clock.Second, config.Classes[0].Deadline)
	}
	config, err := load(t, validBase+class+"deadline = 20ms\n"+limits, "")
	require.NoError(t, err)
	require.Equal(t, 20*clock.Millisecond, config.Classes[0].Deadline)
}

// A negative time is not zero.
func TestNegativeTimesAreRefused(t *testing.T) {
	for _, text := range []string{"-1ms", "-1us", "-5s"} {
		_, err := load(t, validBase+"[reads]\nreplicaWait = "+text+"\n", "")
		require.ErrorContains(t, err, "replicaWait")
	}
}

// Names may have dots. A database was assigned to the group before the first dot.
func TestDatabasesOfGroupsWhoseNamesHaveDots(t *testing.T) {
	dotted := strings.ReplaceAll(validBase, "shop1", "shop.eu")
	config, err := load(t, dotted, "")
	require.NoError(t, err)
	require.Equal(t, "a", config.FindGroup("shop.eu").Databases[0].Name)

	// The section could name database "a" of one group, or "eu.a" of the other.
	_, err = load(t, dotted+"[group.shop]\ncustomer = shop\n[database.shop.a]\naddress = 127.0.0.1:5002\nzone = a\n", "")
	require.ErrorContains(t, err, "base.ini:3: [database.shop.eu.a] the section names databases of several groups: shop.eu, shop; expected")

	_, err = load(t, dotted+"[database.shop.us.a]\naddress = 127.0.0.1:5002\nzone = a\n", "")
	require.ErrorContains(t, err, "[database.shop.us.a] no such group: shop; expected a declared group")
}
