package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// check compares the outcomes of the callers' writes with the writes in the
// databases. It also checks that the tokens of promotions never decrease, that
// at least one write was acknowledged, the ledger, that logs have whole entries, and the rules
// of workspaces.
func (h *harness) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, value := range h.acknowledged {
		switch writes := h.group.Writes(key); {
		case len(writes) == 0:
			h.violations = append(h.violations, fmt.Sprintf("an acknowledged write is lost: %.80q", key))
		case len(writes) > 1:
			h.violations = append(h.violations, fmt.Sprintf("a write took effect twice: %.80q", key))
		case writes[0] != value:
			h.violations = append(h.violations, fmt.Sprintf("another value was written: %.80q holds %.200q, acknowledged was %.200q", key, writes[0], value))
		}
	}
	for key := range h.refused {
		if len(h.group.Writes(key)) > 0 {
			h.violations = append(h.violations, fmt.Sprintf("a write was kept although the caller was told that it was not: %.80q", key))
		}
	}
	var last uint64
	for _, p := range h.platform.Promotions() {
		if p.Token < last {
			h.violations = append(h.violations, "a promotion carries a lower token than one before it")
		}
		last = p.Token
	}
	if len(h.acknowledged) == 0 {
		h.violations = append(h.violations, "no write was served")
	}
	if h.ledger != nil {
		h.violations = append(h.violations, h.ledger.check(h.t, h.group)...)
	}
	h.violations = append(h.violations, checkLogs(h.dir)...)
	if h.keys != nil {
		h.violations = append(h.violations, h.keys.checkWorkspaces(h.group.Arrivals())...)
	}
}

// checkLogs returns the lines in the logs of the proxies that are no whole entry.
func checkLogs(dir string) (violations []string) {
	names, err := filepath.Glob(filepath.Join(dir, "front-*.log"))
	if err != nil {
		return []string{err.Error()}
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return []string{err.Error()}
		}
		for line := range strings.Lines(string(text)) {
			if !json.Valid([]byte(line)) {
				violations = append(violations, fmt.Sprintf("%s has the line %.200q", filepath.Base(name), line))
			}
		}
	}
	return violations
}

// report logs how much there was to check and reports the violations.
func (h *harness) report() {
	h.t.Logf("%d writes acknowledged, %d refused, %d promotions", len(h.acknowledged), len(h.refused), len(h.platform.Promotions()))
	if h.keys != nil {
		h.keys.report(h.t, h.group.Arrivals())
	}
	if h.keys != nil && len(h.violations) > 0 {
		require.NoError(h.t, os.WriteFile(filepath.Join(h.dir, "arrivals.log"), h.keys.format(h.group.Arrivals()), 0o600))
	}
	h.reportViolations()
}

// reportViolations fails the test if there are violations. It then copies the run's logs
// to a folder that outlives the test.
func (h *harness) reportViolations() {
	if len(h.violations) == 0 {
		return
	}
	logDir, err := os.MkdirTemp("", "soak")
	require.NoError(h.t, err)
	require.NoError(h.t, os.CopyFS(logDir, os.DirFS(h.dir)))
	require.NoError(h.t, os.WriteFile(filepath.Join(logDir, "violations.log"), []byte(strings.Join(h.violations, "\n")), 0o600))
	shown := h.violations[:min(len(h.violations), maxShownViolations)]
	h.t.Errorf("%d violations; logs in %s:\n%s", len(h.violations), logDir, strings.Join(shown, "\n"))
}

// maxShownViolations is how many violations a failed test prints. The logs have all.
const maxShownViolations = 30

// Guards against checks that pass whatever the databases hold. A lost write, a
// repeated write, a refused write that took effect and a run without
// acknowledged writes must each be reported.
func TestChecksDetectViolations(t *testing.T) {
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	defer group.Close()
	platform := standin.NewPlatform(group)
	defer platform.Close()
	primary := group.Databases()[0]
	primary.Append("twice", "v")
	primary.Append("twice", "v")
	primary.Append("kept", "v")
	primary.Append("changed", "v")
	h := &harness{
		group: group, platform: platform, acknowledged: map[string]string{"lost": "v", "twice": "v", "changed": "\nv"},
		refused: map[string]struct{}{"kept": {}},
	}
	h.check()
	found := strings.Join(h.violations, "\n")
	require.Contains(t, found, "an acknowledged write is lost: \"lost\"")
	require.Contains(t, found, "a write took effect twice: \"twice\"")
	require.Contains(t, found, "a write was kept although the caller was told that it was not: \"kept\"")
	require.Contains(t, found, `another value was written: "changed" holds "v", acknowledged was "\nv"`)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "front-0.log"), []byte(`{"text":"a"}`+"\n"+`{"text":"a`+"\n"+`b"}`+"\n"), 0o600))
	require.Equal(t, []string{`front-0.log has the line "{\"text\":\"a\n"`, `front-0.log has the line "b\"}\n"`}, checkLogs(dir))
	empty := &harness{group: group, platform: platform}
	empty.check()
	require.Contains(t, strings.Join(empty.violations, "\n"), "no write was served")
}
