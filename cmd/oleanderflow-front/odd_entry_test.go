package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oddEntry returns the text of a sound entry of the group "shop" with some of its fields
// replaced by JSON texts.
func oddEntry(replaced map[string]string) string {
	fields := map[string]string{
		"service": `"shop"`, "address": `"127.0.0.1:1"`, "zone": `"a"`, "version": `"v1"`, "slots": "3", "state": `"ready"`,
		"cold_remaining_ms": "0", "database_role": `"replica"`, "sequence": "1", "born": "1700000000000",
	}
	var b strings.Builder
	for name, text := range fields {
		if other, ok := replaced[name]; ok {
			text = other
		}
		if text != "" {
			fmt.Fprintf(&b, ",%q:%s", name, text)
		}
	}
	return "{" + strings.TrimPrefix(b.String(), ",") + "}"
}

// nested returns a JSON text that is nested n deep.
func nested(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }

// oddEntries are entries that name no database to use, by what is wrong with them.
func oddEntries() map[string]string {
	entries := map[string]string{
		"no JSON": "\xff\x00{", "empty": "", "null": "null", "a list": "[]", "a number": "7",
		"nested around": strings.Repeat(`{"a":`, 9000) + oddEntry(nil) + strings.Repeat("}", 9000),
		"nested deeper": nested(30_000), "unclosed": strings.Repeat("[", 60_000), "unclosed objects": strings.Repeat(`{"a":`, 12_000),
		"nested unknown field": strings.TrimSuffix(oddEntry(nil), "}") + `,"more":` + nested(20_000) + "}",
	}
	for field, texts := range map[string][]string{
		"address": {
			`"127.0.0.1:0"`, `"127.0.0.1:65536"`, `"127.0.0.1:99999"`, `"127.0.0.1:-1"`, `"127.0.0.1:99999999999999999999"`, `"127.0.0.1"`, `"127.0.0.1:"`,
			`""`, `":80"`, `"host:80"`, `"0.0.0.0:80"`, `"[::1]:80"`, `"224.0.0.1:80"`, `"127.0.0.1:1 "`, "7", "null", "",
		},
		"slots":             {"0", "-3", "1.5", "1e400", "1000000000000000000", strings.Repeat("9", 26), strings.Repeat("9", 60_000), `"3"`, nested(9000), ""},
		"born":              {"-1", "1.5", "1e30", "9000000000000000", "99999999999999999999", `"x"`, nested(9000)},
		"sequence":          {"-1", "1.5", "1e30", "1e400", `"x"`},
		"cold_remaining_ms": {"-1", "1e30", "1e400", `"x"`},
		"zone":              {`""`, "7", "", `"` + strings.Repeat("z", 50_000) + `"`},
		"service":           {`""`, "7", "", nested(9000)},
		"state":             {`"odd"`, "7", "", nested(9000)},
		"database_role":     {`"leader"`, "7", ""},
	} {
		for i, text := range texts {
			entries[fmt.Sprintf("%s %d", field, i)] = oddEntry(map[string]string{field: text})
			entries[fmt.Sprintf("%s %d, primary", field, i)] = oddEntry(map[string]string{"database_role": `"primary"`, field: text})
		}
	}
	return entries
}

// Entries of another writer among those of the databases name no database to use (LOST,
// processes that end): they must not count in the group, whose commits waited for
// confirmations of databases with a port out of range.
func TestOddEntriesNameNoDatabase(t *testing.T) {
	s := startSystem(t, 2, 64, 0)
	number := 0
	for _, text := range oddEntries() {
		number++
		s.platform.WriteText("servers", fmt.Sprintf("x%d", number), text)
	}
	// CONNECT cannot name it.
	s.platform.WriteText("servers", "x 1", oddEntry(nil))
	serves := func(key string) {
		t.Helper()
		for i, f := range s.fronts {
			c := openSession(t, f, "fills")
			queryUntilSuccess(t, c, fmt.Sprintf("WRITE %s-%d v", key, i))
			require.Equal(t, []string{"v"}, queryUntilSuccess(t, c, fmt.Sprintf("READ %s-%d", key, i)).Rows)
			g := f.Group("shop")
			require.Equal(t, 3, g.Size(), "%v", g.Members())
			require.Len(t, g.Members(), 3)
		}
	}
	serves("beside")

	// Entries in place of those of the databases: the databases write theirs again.
	for _, text := range oddEntries() {
		for _, d := range s.group.Databases() {
			s.platform.WriteText("servers", d.ID, text)
		}
	}
	for _, d := range s.group.Databases() {
		s.platform.Reregister(d.ID)
	}
	serves("instead")

	// The proxies follow the next change, replace a primary, and start again.
	s.group.Databases()[0].SetDown(true)
	serves("replaced")
	require.NotEmpty(t, s.platform.Promotions())
	s.group.Databases()[0].SetDown(false)
	f := s.startFront(t, "front-later")
	require.Eventually(t, f.Ready, 10*time.Second, 5*time.Millisecond)
	serves("restarted")
}

// The key of an entry of another writer must not end the line in which it is sent to a
// database (UNASKED): the rest of it ran as a statement.
func TestEntryKeyRunsNoStatement(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	c := openSession(t, s.fronts[0], "fills")
	queryUntilSuccess(t, c, "WRITE a v")
	for i, d := range s.group.Databases() {
		s.platform.WriteText("servers", fmt.Sprintf("\r\nQUERY 1 WRITE stolen%d v", i), oddEntry(map[string]string{"address": fmt.Sprintf("%q", d.Address())}))
	}
	for i := range s.group.Databases() {
		s.platform.WriteText("servers", fmt.Sprintf("x%d", i), oddEntry(map[string]string{
			"address": fmt.Sprintf("%q", s.group.Databases()[i].Address()), "service": fmt.Sprintf(`"shop x\r\nQUERY 1 WRITE stolen%d v"`, i+3),
		}))
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range 6 {
		require.NotContains(t, queryUntilSuccess(t, c, fmt.Sprintf("READ stolen%d", i)).Rows, "v")
	}
}
