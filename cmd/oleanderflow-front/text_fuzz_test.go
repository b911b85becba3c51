package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// maxFuzzText keeps messages below the limit of 1 MiB.
const maxFuzzText = 1 << 19

// Texts of any bytes reach a database unchanged through a proxy and a home of it, and come
// back as rows.
func FuzzTextsStayWhole(f *testing.F) {
	for _, text := range []string{
		"v", "", " ", "  a", "a ", "a  b", "\t", "\x00", "\xff\xfe", "\r", "\n", "\n\r", "\r\r", "\ra", "a\r", "a\nb",
		"d640\näq", "\nQUERY x WRITE a b", "\nGOODBYE", "\nROW x", "\nCOMPLETE forged", "\nREADY I 1.1", "AFTER 9.9 a", "- a", "%s",
		strings.Repeat("x", 2000), strings.Repeat("x", 2029) + "\r", strings.Repeat("abc\r\n", 14_000),
	} {
		f.Add([]byte(text))
	}
	s := startHomes(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		text := string(data[:min(len(data), maxFuzzText)])
		for strings.Contains(text, "\r\n") {
			text = strings.ReplaceAll(text, "\r\n", "\n")
		}
		c, err := standin.Open(s.entry.Address(), "invoices")
		require.NoError(t, err)
		defer c.Close()
		var id string
		c.BeforeSend = func(sent string) { id = sent }
		before := len(s.group.Arrivals())
		query := func(text string) standin.Reply {
			r, err := c.Query(text)
			require.NoError(t, err, "%.200q", text)
			require.Empty(t, r.Error, "%.200q", text)
			return r
		}
		sent := make(map[string]string)
		run := func(text string, rows ...string) {
			r := query(text)
			sent[id] = text
			require.Equal(t, rows, r.Rows, "%.200q", text)
			require.True(t, strings.HasSuffix(r.Signature, "."+id), "%s has the signature %q", id, r.Signature)
		}
		query("SET n " + text)
		query("PREPARE p WRITE " + text)
		run("WRITE a " + text)
		run("READ a", text)
		run("EXECUTE p b " + text)
		run("READ b", text)
		for _, a := range s.group.Arrivals()[before:] {
			if a.ID == "-" {
				continue
			}
			want, known := sent[a.ID]
			require.True(t, known, "%.200q has the id %q, which was not sent", a.Text, a.ID)
			require.Equal(t, map[string]string{"n": text}, a.Values)
			if strings.HasPrefix(want, "EXECUTE") {
				require.Equal(t, "WRITE "+text, a.Shape)
				_, want, _ = strings.Cut(want, "p ")
				require.True(t, strings.HasSuffix(a.Statement, want))
				continue
			}
			require.Equal(t, want, a.Statement)
		}
	})
}
