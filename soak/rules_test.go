package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// The rules of the platform, and the settings of the proxies.
const (
	// revocationLimit is how long after the acknowledgement of its removal a key may work.
	revocationLimit = 5 * time.Second
	// In a window of quotaWindow, (rate x window + burst) x (1 + quotaOvershoot) +
	// quotaSlack operations of a workspace may arrive.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// checkWorkspaces checks what has arrived at the databases by the rules.
func (k *keyring) checkWorkspaces(arrivals []standin.Arrival) (violations []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range arrivals {
		if v := k.checkKeyLocked(a); v != "" {
			violations = append(violations, v)
		}
	}
	for _, w := range k.workspaces {
		if n, at := k.busiestWindowLocked(arrivals, w.Name); w.Rate > 0 && n > allowed(w) {
			violations = append(violations, fmt.Sprintf("%d operations of %s in the 5 s from %s, %d are allowed", n, w.Name, at.Format(time.StampMilli), allowed(w)))
		}
	}
	return violations
}

// allowed returns how many operations of a workspace may arrive in a window.
func allowed(w standin.Workspace) int {
	return int((w.Rate*quotaWindow.Seconds()+w.Burst)*(1+quotaOvershoot) + quotaSlack)
}

// checkKeyLocked checks that the workspace for which a statement has arrived held the key
// of the caller, or had held it within revocationLimit before the caller sent the statement.
func (k *keyring) checkKeyLocked(a standin.Arrival) (violation string) {
	if a.ID == proxyID {
		switch word, _, _ := strings.Cut(a.Statement, " "); {
		case slices.Contains(ownStatements, a.Statement):
			return ""
		case word == "SET", word == "PREPARE":
			// The ledger checks their texts.
			return ""
		}
		return fmt.Sprintf("%q arrived at %s for %s, and no caller sent it", a.Statement, a.Database, a.User)
	}
	s := k.sent[a.ID]
	late := time.Duration(-1)
	for _, p := range k.periods {
		if p.key != s.key || p.workspace != a.User || a.At.Before(p.from) {
			continue
		}
		if p.until.IsZero() || !s.at.After(p.until.Add(revocationLimit)) {
			return ""
		}
		late = s.at.Sub(p.until)
	}
	if late < 0 {
		return fmt.Sprintf("%s %.120q of %s, sent at %s, arrived at %s for %s, which did not hold the key", a.ID, a.Statement, s.key, s.at.Format(time.StampMilli), a.Database, a.User)
	}
	return fmt.Sprintf("%s %.120q of %s, sent at %s, arrived at %s for %s, sent %s after the removal of the key", a.ID, a.Statement, s.key, s.at.Format(time.StampMilli), a.Database, a.User, late)
}

// proxyID is the query id of what proxies send on their own account.
const proxyID = "-"

// busiestWindowLocked returns the largest number of operations of a workspace that were
// both sent and arrived within one window, and the begin of that window. A window that
// begins when an operation is sent has as many as any.
func (k *keyring) busiestWindowLocked(arrivals []standin.Arrival, workspace string) (most int, begin time.Time) {
	type operation struct{ sent, arrived time.Time }
	var list []operation
	for _, a := range arrivals {
		if s, ok := k.sent[a.ID]; ok && a.Operation && a.User == workspace {
			list = append(list, operation{s.at, a.At})
		}
	}
	slices.SortFunc(list, func(a, b operation) int { return a.sent.Compare(b.sent) })
	for i, first := range list {
		n, end := 0, first.sent.Add(quotaWindow)
		for _, o := range list[i:] {
			if o.sent.After(end) {
				break
			}
			if !o.arrived.After(end) {
				n++
			}
		}
		if n > most {
			most, begin = n, first.sent
		}
	}
	return most, begin
}

// report logs how much there was to check: the busiest window of each limited workspace, and
// the statements that callers sent when their keys had been removed for too long.
func (k *keyring) report(t *testing.T, arrivals []standin.Arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.workspaces {
		if n, _ := k.busiestWindowLocked(arrivals, w.Name); w.Rate > 0 {
			t.Logf("%s: at most %d operations in a window, %d are allowed", w.Name, n, allowed(w))
		}
	}
	late := 0
	for _, s := range k.sent {
		holds := func(p keyPeriod) bool {
			return p.key == s.key && (p.until.IsZero() || !s.at.After(p.until.Add(revocationLimit)))
		}
		if !slices.ContainsFunc(k.periods, holds) {
			late++
		}
	}
	t.Logf("%d arrivals, %d statements sent, %d of them too late after the removal of their key", len(arrivals), len(k.sent), late)
}

// format returns a line for each arrival, with what its caller knows of it.
func (k *keyring) format(arrivals []standin.Arrival) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	var b []byte
	for _, a := range arrivals {
		s := k.sent[a.ID]
		b = fmt.Appendf(b, "%s sent %s %s %s %s %s operation=%t %.200q\n", a.At.Format(time.StampMilli), s.at.Format(time.StampMilli), a.ID, a.User, s.key, a.Database, a.Operation, a.Statement)
	}
	return b
}

// Guards against checks of workspaces that pass whatever arrives.
func TestWorkspaceChecksDetectViolations(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	keys := func() *keyring {
		return &keyring{
			workspaces: []standin.Workspace{{Name: "north", Rate: 2, Burst: 2}, {Name: "south"}},
			periods: []keyPeriod{
				{key: "n", workspace: "north", from: at(0)}, {key: "s", workspace: "south", from: at(0)},
				{key: "removed", workspace: "north", from: at(0), until: at(1000)},
				{key: "moved", workspace: "north", from: at(0), until: at(2000)}, {key: "moved", workspace: "south", from: at(1990)},
			},
			sent: make(map[string]sentStatement),
		}
	}
	for _, c := range []struct {
		name, key, user string
		sent, arrived   int
		want            string
	}{
		{"own workspace", "n", "north", 10_000, 10_001, ""},
		{"other workspace", "n", "south", 10, 11, "arrived at shop-a for south, which did not hold the key"},
		{"instance", "n", "front-0", 10, 11, "did not hold the key"},
		{"never declared", "x", "north", 10, 11, "did not hold the key"},
		{"before its declaration", "moved", "south", 1900, 1950, "did not hold the key"},
		{"moved", "moved", "south", 1990, 2000, ""},
		{"within the limit", "removed", "north", 6000, 60_000, ""},
		{"beyond the limit", "removed", "north", 6001, 6002, "sent 5.001s after the removal of the key"},
		{"moved, beyond the limit", "moved", "north", 7500, 7501, "sent 5.5s after the removal of the key"},
	} {
		k := keys()
		k.sent["q1"] = sentStatement{key: c.key, at: at(c.sent)}
		got := k.checkWorkspaces([]standin.Arrival{{ID: "q1", Statement: "COMMIT", Database: "shop-a", User: c.user, At: at(c.arrived)}})
		if c.want == "" {
			require.Empty(t, got, c.name)
			continue
		}
		require.Len(t, got, 1, c.name)
		require.Contains(t, got[0], c.want, c.name)
	}
	require.Contains(t, keys().checkWorkspaces([]standin.Arrival{{ID: proxyID, Statement: "WRITE a v", User: "north"}})[0], "no caller sent it")

	// 33 operations are allowed: (2 x 5 + 2) x 1.1 + 20. What was sent before the window,
	// arrives after it or is within a transaction does not count; a repeat does.
	k := keys()
	var arrivals []standin.Arrival
	arrive := func(id string, sent, arrived int, operation bool) {
		k.sent[id] = sentStatement{key: "n", at: at(sent)}
		arrivals = append(arrivals, standin.Arrival{ID: id, User: "north", At: at(arrived), Operation: operation})
	}
	for i := range 33 {
		arrive(fmt.Sprint("q", i), 1000+156*i, 1001+156*i, true)
	}
	arrive("early", 990, 5000, true)
	arrive("late", 5000, 6500, true)
	arrive("within", 3000, 3001, false)
	require.Empty(t, k.checkWorkspaces(arrivals))
	arrive("q3", 1468, 1500, true)
	require.Contains(t, k.checkWorkspaces(arrivals)[0], "34 operations of north")
}
