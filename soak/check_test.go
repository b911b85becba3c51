package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// check compares the outcomes of the callers' writes with the writes in the
// databases. It also checks that the tokens of promotions never decrease, that
// at least one write was acknowledged, and the rules of workspaces.
func (h *harness) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.acknowledged {
		switch n := len(h.group.Writes(key)); {
		case n == 0:
			h.violations = append(h.violations, "an acknowledged write is lost: "+key)
		case n > 1:
			h.violations = append(h.violations, "a write took effect twice: "+key)
		}
	}
	for key := range h.refused {
		if len(h.group.Writes(key)) > 0 {
			h.violations = append(h.violations, "a write was kept although the caller was told that it was not: "+key)
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
	if h.keys != nil {
		h.violations = append(h.violations, h.keys.checkWorkspaces(h.group.Arrivals())...)
	}
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
	h.t.Errorf("%d violations; logs in %s:\n%s", len(h.violations), logDir, strings.Join(h.violations, "\n"))
}

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
	h := &harness{
		group: group, platform: platform, acknowledged: map[string]string{"lost": "v", "twice": "v"},
		refused: map[string]struct{}{"kept": {}},
	}
	h.check()
	found := strings.Join(h.violations, "\n")
	require.Contains(t, found, "an acknowledged write is lost: lost")
	require.Contains(t, found, "a write took effect twice: twice")
	require.Contains(t, found, "a write was kept although the caller was told that it was not: kept")
	empty := &harness{group: group, platform: platform}
	empty.check()
	require.Contains(t, strings.Join(empty.violations, "\n"), "no write was served")
}
