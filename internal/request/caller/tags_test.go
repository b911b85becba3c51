package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/caller"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

func TestTags(t *testing.T) {
	for query, want := range map[string]caller.Tags{
		"SELECT 1":                 {},
		"SELECT 1 /*maxAge='2s'*/": {MaxAge: 2 * clock.Second},
		"/*requestId='a1',class='bookings'*/ INSERT INTO t":       {RequestID: "a1", Class: "bookings"},
		"SELECT 1 /* read='stock' , maxAge='500ms' */;":           {Read: "stock", MaxAge: 500},
		"SELECT 1 /*a plain comment*/":                            {},
		"SELECT '/*maxAge=''2s''*/'":                              {},
		"SELECT 1 /*requestId='a%20b'*/":                          {RequestID: "a b"},
		"SELECT 1 /*requestId='a+b'*/":                            {RequestID: "a+b"},
		"/*maxAge='5s'*/ SELECT 1 /*read='x'*/":                   {MaxAge: 5 * clock.Second, Read: "x"},
		"SELECT 1 /*traceparent='00-aa-bb-01',requestId='t-1'*/ ": {RequestID: "t-1"},
	} {
		got, err := caller.ParseTags(query)
		require.NoError(t, err, query)
		require.Equal(t, want, got, query)
	}
}

func TestBadTagsAreErrors(t *testing.T) {
	for _, query := range []string{
		"SELECT 1 /*maxAge='x'*/", "SELECT 1 /*maxAge='-2s'*/", "SELECT 1 /*requestId=''*/",
		"SELECT 1 /*requestId='a%00b'*/", "SELECT 1 /*requestId='a%ff'*/",
	} {
		_, err := caller.ParseTags(query)
		var bad *caller.TagError
		require.ErrorAs(t, err, &bad, query)
	}
}

func TestClassify(t *testing.T) {
	for query, want := range map[string]caller.Kind{
		"select 1":                              caller.KindRead,
		"  /* x */ -- y\n SELECT 1;":            caller.KindRead,
		"(SELECT 1)":                            caller.KindRead,
		"SELECT 1; DELETE FROM t":               caller.KindWrite,
		"SELECT * FROM t FOR UPDATE":            caller.KindWrite,
		"with x as (select 1) select * from x":  caller.KindRead,
		"INSERT INTO t VALUES (1)":              caller.KindWrite,
		"BEGIN":                                 caller.KindBegin,
		"start transaction":                     caller.KindBegin,
		"SET search_path = x":                   caller.KindSet,
		"SET LOCAL x = 1":                       caller.KindWrite,
		"SET a = 1; INSERT INTO t VALUES (1)":   caller.KindWrite,
		"COPY t FROM STDIN":                     caller.KindCopy,
		"LISTEN x":                              caller.KindSessionBound,
		"CREATE TEMPORARY TABLE t (id INTEGER)": caller.KindSessionBound,
		"SHOW oleanderflow.token":               caller.KindLocal,
		"SHOW server_version":                   caller.KindRead,
		"":                                      caller.KindNone,
		"/* only a comment */":                  caller.KindNone,
		"DISCARD ALL":                           caller.KindLocal,
		"EXPLAIN SELECT 1":                      caller.KindRead,
		"select pg_advisory_lock(1)":            caller.KindSessionBound,
		"CREATE TABLE temp_things (id INTEGER)": caller.KindWrite,
	} {
		require.Equal(t, want, caller.Classify(query), query)
	}
}

func FuzzParseTags(f *testing.F) {
	f.Add("SELECT 1 /*maxAge='2s',requestId='a'*/")
	f.Add("/*")
	f.Add("*/ /*/")
	f.Fuzz(func(_ *testing.T, query string) {
		_, _ = caller.ParseTags(query)
		_ = caller.Classify(query)
	})
}
