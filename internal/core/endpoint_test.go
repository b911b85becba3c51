package core

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestMetricsHealthAndReadiness(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	e, err := NewEndpoint("127.0.0.1:0", d.Proxies[0])
	require.NoError(t, err)
	t.Cleanup(e.Close)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string) (int, string) {
		response, err := client.Get("http://" + e.Address() + path)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	require.Equal(t, 1, queryInt(t, connect(t, d.Proxies[0], ""), "SELECT 1"))
	status, _ := get("/healthz")
	require.Equal(t, http.StatusOK, status)
	status, _ = get("/readyz")
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		_, body := get("/metrics")
		return containsAll(body, `oleanderflow_decisions{`, `reason="primary: fresh read"`, "oleanderflow_sessions", "oleanderflow_group_term", "oleanderflow_group_questions")
	}, 10*time.Second, 50*time.Millisecond)
	go d.Proxies[0].Shutdown(5 * clock.Second)
	require.Eventually(t, func() bool {
		status, _ := get("/readyz")
		return status == http.StatusServiceUnavailable
	}, 5*time.Second, 10*time.Millisecond)
}

func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
