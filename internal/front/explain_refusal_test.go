package front

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Follows OPERATIONS.md from a request's id to the reason of its refusal, for each reason:
// an operator must get it from the lines that sessions write.
func TestExplainTellsWhyRequestsWereRefused(t *testing.T) {
	a := writeLog(t, "a.log",
		logEntry("04.900", "front-a", `"msg":"configuration not confirmed by the store","proofAge":"4.1s"`),
		logEntry("05.000", "front-a", `"msg":"operation refused for its workspace's limit","request":"q1","session":7,"keyId":"1f3a22b0","workspace":"north","reason":"limit","route":"fills","group":"shop1","version":9,"count":61,"limit":60,"retry":"80ms","accountantSilent":false,"shareAge":"120ms"`),
		logEntry("05.000", "front-a", `"msg":"key refused: no workspace holds it","request":"q2","session":7,"keyId":"1f3a22b0","workspace":"north","reason":"key","route":"fills","group":"shop1","version":10,"proofAge":"700ms","proofLimit":"4.9s"`),
		logEntry("05.000", "front-a", `"msg":"key not judged: configuration not confirmed","request":"q3","session":7,"keyId":"1f3a22b0","workspace":"north","reason":"proof","route":"fills","group":"shop1","version":9,"proofAge":"4.92s","proofLimit":"4.9s","retryAfter":"310ms"`),
		logEntry("05.000", "front-a", `"msg":"request failed","request":"q4","session":7,"keyId":"1f3a22b0","workspace":"north","route":"fills","group":"shop1","reason":"capacity","database":"b","count":4,"limit":4,"waiting":24,"code":"busy","cause":"b: too many requests wait for the database"`),
		logEntry("05.010", "front-a", `"msg":"request failed","request":"q5","session":7,"keyId":"1f3a22b0","workspace":"north","route":"fills","group":"shop1","home":"front-b","code":"busy","cause":"workspace north is over its limit"`),
		logEntry("05.000", "front-a", `"msg":"key refused: it has moved to another workspace","request":"q6","session":7,"keyId":"1f3a22b0","workspace":"north","reason":"key","group":"shop1","version":10,"holder":"south"`),
		logEntry("05.000", "front-a", `"msg":"key refused: no workspace holds it","session":8,"reason":"key","route":"fills","group":"shop1","version":10`))
	b := writeLog(t, "b.log",
		logEntry("05.000", "front-b", `"msg":"operation refused for its workspace's limit","request":"q5","session":"front-a/7","workspace":"north","reason":"limit","group":"shop1","version":9,"count":12,"limit":60,"retry":"80ms","accountantSilent":true,"shareAge":"900ms"`),
		logEntry("04.000", "front-b", `"msg":"key refused: no workspace holds it","session":3,"keyId":"1f3a22b0","reason":"key","route":"fills","group":"shop1","version":10`))
	for id, want := range map[string]string{
		"q1": "= q1 of workspace north at front-a: limit: this proxy ran 61 operations in the last second, 60 a second are allowed over all proxies; share is 120ms old, retry after 80ms",
		"q2": "= q2 of workspace north at front-a: key: no workspace holds key 1f3a22b0 in configuration 10",
		"q3": "= q3 of workspace north at front-a: old proof: configuration 9 was not confirmed for 4.92s, 4.9s is the most that is allowed",
		"q4": "= q4 of workspace north at front-a: capacity: b: too many requests wait for the database (database b: 4 of 4 connections open, 24 requests waiting for one)",
		"q5": "= q5 of workspace north at front-b: limit: no accountant has answered for 900ms, and there is no reserve at this home; the proxy of the caller ran the request from its own, unless it has written that it failed",
		"q6": "= q6 of workspace north at front-a: key: workspace south holds key 1f3a22b0 in configuration 10, and did not when the transaction began",
	} {
		var out bytes.Buffer
		require.Equal(t, exitOK, explain(&ExplainOptions{ID: id, Files: []string{a, b}, Span: 3e9}, &out))
		require.Contains(t, out.String(), want+"\n")
		require.Equal(t, 1, strings.Count(out.String(), "\n= "), out.String())
		require.NotContains(t, out.String(), "session=8", "another session's start")
	}
	// What the store did is shown before the refusal for an old proof.
	var out bytes.Buffer
	explain(&ExplainOptions{ID: "q3", Files: []string{a, b}, Span: 3e9}, &out)
	require.Contains(t, out.String(), "configuration not confirmed by the store proofAge=4.1s")

	// All refusals of a key, with their requests.
	out.Reset()
	require.Equal(t, exitOK, explain(&ExplainOptions{ID: "1f3a22b0", Files: []string{a, b}, Span: 3e9}, &out))
	require.Equal(t, 7, strings.Count(out.String(), "> "))
	require.Contains(t, out.String(), "request=q2")
	require.Contains(t, out.String(), "= the start of session 3 at front-b: key: no workspace holds key 1f3a22b0 in configuration 10\n")
	require.NotContains(t, out.String(), "not confirmed by the store")
}
