package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
)

// addQuery appends a query of the proxy's own, which is answered in phase p.
func (x *exchange) addQuery(p phase, query string) error {
	encoded, err := (&pgproto3.Query{String: query}).Encode(x.request)
	if err != nil {
		return err
	}
	x.request = encoded
	x.phases[p] = true
	return nil
}

// assembleWithID builds a request that begins with ledger, the query that
// records the request id.
func (x *exchange) assembleWithID(ledger string) error {
	if err := x.addSettings(); err != nil {
		return err
	}
	if err := x.addQuery(phaseLedger, ledger); err != nil {
		return err
	}
	return x.addBatch()
}

// addSettings appends the session's settings unless the connection has them
// already.
func (x *exchange) addSettings() error {
	want := x.session.SettingsStatement()
	if x.conn.Settings == want {
		return nil
	}
	statement := want
	if x.conn.Settings != "" {
		statement = "RESET ALL;" + want
	}
	x.conn.Settings = want
	if err := x.addQuery(phaseSettings, statement); err != nil {
		return err
	}
	x.settingsSize = len(x.request)
	return nil
}

// assemble builds a request from the session's settings and the batch. If before
// or after is set, it adds a status query before or after the batch.
func (x *exchange) assemble(before, after bool) error {
	if err := x.addSettings(); err != nil {
		return err
	}
	if before {
		if err := x.addQuery(phaseBefore, database.StatusStatement); err != nil {
			return err
		}
	}
	if err := x.addBatch(); err != nil {
		return err
	}
	if after {
		return x.addQuery(phaseAfter, database.StatusStatement)
	}
	return nil
}

// addBatch appends the batch's messages and queues the replies expected for
// them.
func (x *exchange) addBatch() error {
	b := x.batch
	parsed := make(map[string]bool)
	for i := range b.steps {
		st := &b.steps[i]
		if st.reply != nil {
			x.queue = append(x.queue, expectedReply{kind: st.kind, reply: st.reply})
			continue
		}
		if st.statement != "" {
			skip, err := x.ensurePrepared(st, parsed)
			if err != nil {
				return err
			}
			if skip {
				continue
			}
		}
		if st.kind == stepExecute && x.recording != nil {
			if err := x.describeForLedger(b.buffer[st.start:st.end]); err != nil {
				return err
			}
		}
		x.request = append(x.request, b.buffer[st.start:st.end]...)
		x.queue = append(x.queue, expectedReply{kind: st.kind, statement: st.statement})
	}
	last := b.steps[len(b.steps)-1].kind
	x.awaitingSync = last == stepFlush
	x.phases[phaseBatch] = !x.awaitingSync
	return nil
}

// describeForLedger appends a Describe of the portal that execute, an encoded
// Execute message, runs. The ledger keeps the row description for repeats that
// ask for it.
func (x *exchange) describeForLedger(execute []byte) error {
	var m pgproto3.Execute
	if err := m.Decode(execute[messageHeaderSize:]); err != nil {
		return err
	}
	encoded, err := (&pgproto3.Describe{ObjectType: 'P', Name: m.Portal}).Encode(x.request)
	if err != nil {
		return err
	}
	x.request = encoded
	x.queue = append(x.queue, expectedReply{kind: stepDescribe, suppress: true})
	return nil
}

// ensurePrepared appends a Parse if the connection lacks the step's statement.
// It returns true if the step itself is a Parse of a statement that the
// connection already has, and need not be sent. parsed holds the statements that
// the request itself parses.
func (x *exchange) ensurePrepared(st *step, parsed map[string]bool) (bool, error) {
	_, known := x.conn.Prepared[st.statement]
	known = known || parsed[st.statement]
	if st.kind == stepParse {
		if known {
			x.queue = append(x.queue, expectedReply{kind: stepParse, reply: parseComplete})
			return true, nil
		}
		parsed[st.statement] = true
		return false, nil
	}
	if known {
		return false, nil
	}
	parsed[st.statement] = true
	p := &pgproto3.Parse{Name: st.statement, Query: st.definition.Query, ParameterOIDs: st.definition.OIDs}
	encoded, err := p.Encode(x.request)
	if err != nil {
		return false, err
	}
	x.request = encoded
	x.queue = append(x.queue, expectedReply{kind: stepParse, statement: st.statement, suppress: true})
	return false, nil
}
