package caller

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// What a statement leaves on its connection must not reach other sessions.
func TestStateThatOutlastsARequestIsNotShared(t *testing.T) {
	parameter := func(name string) *pgproto3.ParameterStatus {
		return &pgproto3.ParameterStatus{Name: name, Value: "x"}
	}
	for name, test := range map[string]struct {
		answer          []pgproto3.BackendMessage
		settings, close bool
	}{
		"select":          {answer: []pgproto3.BackendMessage{complete("SELECT 1")}},
		"token of a home": {answer: []pgproto3.BackendMessage{parameter(tokenParameter), complete("SELECT 1")}},
		"set_config":      {answer: []pgproto3.BackendMessage{complete("SELECT 1"), parameter("TimeZone")}, settings: true},
		"set":             {answer: []pgproto3.BackendMessage{complete("SET")}, settings: true},
		"prepare":         {answer: []pgproto3.BackendMessage{complete("PREPARE")}, close: true},
		"deallocate":      {answer: []pgproto3.BackendMessage{complete("DEALLOCATE ALL")}, close: true},
		"discard":         {answer: []pgproto3.BackendMessage{complete("DISCARD ALL")}, close: true},
		"listen":          {answer: []pgproto3.BackendMessage{complete("LISTEN")}, close: true},
		"load":            {answer: []pgproto3.BackendMessage{complete("LOAD")}, close: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := &exchange{}
			b := &batch{kind: KindWrite, query: "SELECT 1; SELECT 2", steps: []step{{kind: stepQuery}}}
			x.prepare(nil, answering(t, append(test.answer, ready('I'))...), b)
			require.NoError(t, x.runPhase(phaseBatch))
			require.Equal(t, test.settings, x.conn.SettingsChanged)
			require.Equal(t, test.close, x.conn.StateUnknown)
		})
	}
}

// A database does not report all settings that set_config changes.
func TestSetConfigIsASetting(t *testing.T) {
	for query, changes := range map[string]bool{
		"SELECT set_config('search_path', 'mine', false)":                 true,
		"SELECT pg_catalog.SET_CONFIG ('statement_timeout', '1s', false)": true,
		"SELECT 1": false,
	} {
		x := &exchange{}
		b := &batch{steps: []step{{kind: stepQuery}}}
		b.mergeKind(query)
		x.prepare(nil, answering(t, complete("SELECT 1"), ready('I')), b)
		require.NoError(t, x.runPhase(phaseBatch))
		require.Equal(t, changes, x.conn.SettingsChanged, query)
	}
}
