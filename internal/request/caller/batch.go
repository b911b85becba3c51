package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/oleanderflow/oleanderflow/internal/connection/caller"
	"github.com/oleanderflow/oleanderflow/pkg/outcome"
)

const (
	// maxBatchSize limits the messages gathered before a Sync, in bytes.
	maxBatchSize = 128 << 20
	// maxPortals limits the portals of one batch or transaction.
	maxPortals = 256
)

// step is one message of a batch, with its reply if the proxy answers it itself.
type step struct {
	kind byte
	// start and end delimit the encoded message in the batch's buffer.
	start, end int
	// statement is the name, on database connections, of the prepared statement
	// that the message uses or defines.
	statement string
	// definition is sent in a Parse if the connection lacks the statement.
	definition *caller.Statement
	// reply is the proxy's own encoded reply, nil if the database replies.
	reply []byte
}

// Step kinds. The values are the protocol's message type bytes.
const (
	stepQuery    = 'Q'
	stepParse    = 'P'
	stepBind     = 'B'
	stepDescribe = 'D'
	stepExecute  = 'E'
	stepClose    = 'C'
	stepSync     = 'S'
	stepFlush    = 'H'
)

// batch holds the messages of one request, up to a Query, Sync or Flush.
type batch struct {
	buffer []byte
	steps  []step
	// kind is the combined kind of all statements.
	kind Kind
	// query is the text of the first statement.
	query string
	// portals holds the open portals by name.
	portals map[string]portalTarget
	// runsStatement is set if a statement of the batch runs in a database.
	runsStatement bool
	// hasCopy is set if the batch has a COPY statement.
	hasCopy bool
	// endsTransaction is set if the batch may end a transaction.
	endsTransaction bool
	// setsConfig is set if a statement may call set_config.
	setsConfig bool
	// runLocal runs a statement that the proxy answers itself.
	runLocal func(query string) ([]pgproto3.BackendMessage, error)
}

// portalTarget is the statement that a portal is bound to.
type portalTarget struct {
	statement *caller.Statement
	kind      Kind
}

// reset empties the batch but keeps its portals. A large buffer is freed.
func (b *batch) reset() {
	if cap(b.buffer) > 1<<16 {
		b.buffer = nil
	}
	b.buffer, b.steps = b.buffer[:0], b.steps[:0]
	b.kind, b.query = KindNone, ""
	b.runsStatement, b.hasCopy, b.endsTransaction = false, false, false
	b.setsConfig = false
}

// mergeKind updates the batch's kind for one more statement and returns the
// kind of that statement alone.
func (b *batch) mergeKind(query string) Kind {
	kind := Classify(query)
	if b.query == "" {
		b.query = query
	}
	b.hasCopy = b.hasCopy || kind == KindCopy
	b.setsConfig = b.setsConfig || containsFold(query, "set_config")
	b.endsTransaction = b.endsTransaction || mayEndTransaction(query)
	switch {
	case b.kind == KindNone || b.kind == KindLocal || b.kind == KindSet:
		b.kind = kind
	case kind == KindSessionBound, b.kind == KindSessionBound:
		b.kind = KindSessionBound
	case kind == b.kind || kind == KindNone || kind == KindLocal || kind == KindSet:
	case b.kind == KindBegin:
	default:
		b.kind = KindWrite
	}
	return kind
}

// mayEndTransaction reports whether a query text may commit or roll back.
func mayEndTransaction(query string) bool {
	word, _ := cutWord(skipComments(query))
	switch word {
	case "commit", "end", "rollback", "abort":
		return true
	}
	return containsFold(query, "commit")
}

// encode adds a message that is sent to the database. It returns a
// *caller.ProtocolError for an invalid message or an oversized batch.
func (b *batch) encode(kind byte, m pgproto3.FrontendMessage) (*step, error) {
	start := len(b.buffer)
	buffer, err := m.Encode(b.buffer)
	if err != nil {
		return nil, &caller.ProtocolError{Code: outcome.CodeProtocol, Message: err.Error()}
	}
	if len(buffer) > maxBatchSize {
		return nil, &caller.ProtocolError{Code: outcome.CodeProtocol, Message: "request is longer than " + strconv.Itoa(maxBatchSize) + " bytes"}
	}
	b.buffer = buffer
	b.steps = append(b.steps, step{kind: kind, start: start, end: len(buffer)})
	return &b.steps[len(b.steps)-1], nil
}

// addLocal adds a step that the proxy answers itself.
func (b *batch) addLocal(kind byte, replies ...pgproto3.BackendMessage) error {
	var reply []byte
	for _, m := range replies {
		encoded, err := m.Encode(reply)
		if err != nil {
			return err
		}
		reply = encoded
	}
	b.steps = append(b.steps, step{kind: kind, reply: reply})
	return nil
}

// statementNameSize is the length of the part of a digest that names a statement,
// in bytes.
const statementNameSize = 24

// statementName derives a statement's name on database connections from its
// definition, so that all sessions that prepare it share one name. The digest is
// a cryptographic one: with any other, a session could prepare a text of the same
// name as that of another session.
func statementName(m *pgproto3.Parse) string {
	var buffer [512]byte
	// The length keeps the text apart from the types that follow it.
	definition := binary.BigEndian.AppendUint64(buffer[:0], uint64(len(m.Query)))
	definition = append(definition, m.Query...)
	for _, oid := range m.ParameterOIDs {
		definition = binary.BigEndian.AppendUint32(definition, oid)
	}
	digest := sha256.Sum256(definition)
	return "of" + hex.EncodeToString(digest[:statementNameSize])
}

// addParse records a prepared statement in the session and adds its Parse
// under the shared name.
func (b *batch) addParse(s *caller.Session, m *pgproto3.Parse) error {
	if _, ok := s.Prepared[m.Name]; !ok && len(s.Prepared) >= caller.MaxStatements {
		return &caller.ProtocolError{Code: outcome.CodeUnsupported, Message: "too many prepared statements in one session"}
	}
	if s.Prepared == nil {
		s.Prepared = make(map[string]*caller.Statement)
	}
	st := &caller.Statement{Query: m.Query, OIDs: append([]uint32(nil), m.ParameterOIDs...), Name: statementName(m)}
	s.Prepared[m.Name] = st
	if isLocal(Classify(m.Query)) {
		b.mergeKind(m.Query)
		return b.addLocal(stepParse, &pgproto3.ParseComplete{})
	}
	b.mergeKind(m.Query)
	added, err := b.encode(stepParse, &pgproto3.Parse{Name: st.Name, Query: m.Query, ParameterOIDs: m.ParameterOIDs})
	if err != nil {
		return err
	}
	added.statement, added.definition = st.Name, st
	return nil
}

// isLocal reports whether the proxy itself answers statements of kind k.
func isLocal(k Kind) bool { return k == KindSet || k == KindLocal || k == KindNone }

func (b *batch) addBind(s *caller.Session, m *pgproto3.Bind) error {
	st, ok := s.Prepared[m.PreparedStatement]
	if !ok {
		return &caller.ProtocolError{Code: "26000", Message: "prepared statement " + strconv.Quote(m.PreparedStatement) + " does not exist"}
	}
	kind := b.mergeKind(st.Query)
	if b.portals == nil {
		b.portals = make(map[string]portalTarget)
	}
	if len(b.portals) >= maxPortals {
		return &caller.ProtocolError{Code: outcome.CodeUnsupported, Message: "too many open portals"}
	}
	b.portals[m.DestinationPortal] = portalTarget{statement: st, kind: kind}
	if isLocal(kind) {
		return b.addLocal(stepBind, &pgproto3.BindComplete{})
	}
	renamed := *m
	renamed.PreparedStatement = st.Name
	added, err := b.encode(stepBind, &renamed)
	if err != nil {
		return err
	}
	added.statement, added.definition = st.Name, st
	return nil
}

func (b *batch) addDescribe(s *caller.Session, m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		if target, ok := b.portals[m.Name]; ok && isLocal(target.kind) {
			return b.addLocal(stepDescribe, describeLocal(target.statement.Query)...)
		}
		_, err := b.encode(stepDescribe, m)
		return err
	}
	st, ok := s.Prepared[m.Name]
	if !ok {
		return &caller.ProtocolError{Code: "26000", Message: "prepared statement " + strconv.Quote(m.Name) + " does not exist"}
	}
	if isLocal(b.mergeKind(st.Query)) {
		replies := append([]pgproto3.BackendMessage{&pgproto3.ParameterDescription{}}, describeLocal(st.Query)...)
		return b.addLocal(stepDescribe, replies...)
	}
	added, err := b.encode(stepDescribe, &pgproto3.Describe{ObjectType: 'S', Name: st.Name})
	if err != nil {
		return err
	}
	added.statement, added.definition = st.Name, st
	return nil
}

func (b *batch) addExecute(m *pgproto3.Execute) error {
	if target, ok := b.portals[m.Portal]; ok && isLocal(target.kind) {
		replies, err := b.runLocal(target.statement.Query)
		if err != nil {
			return err
		}
		return b.addLocal(stepExecute, replies...)
	}
	b.runsStatement = true
	_, err := b.encode(stepExecute, m)
	return err
}

func (b *batch) addClose(s *caller.Session, m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		// Statements stay prepared on database connections for other sessions.
		delete(s.Prepared, m.Name)
		return b.addLocal(stepClose, &pgproto3.CloseComplete{})
	}
	target, ok := b.portals[m.Name]
	delete(b.portals, m.Name)
	if ok && isLocal(target.kind) {
		return b.addLocal(stepClose, &pgproto3.CloseComplete{})
	}
	_, err := b.encode(stepClose, m)
	return err
}

// onlyLocal reports whether the proxy answers every step itself.
func (b *batch) onlyLocal() bool {
	for i := range b.steps {
		if b.steps[i].reply == nil && b.steps[i].kind != stepSync && b.steps[i].kind != stepFlush {
			return false
		}
	}
	return true
}
