package soak

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// sentText is a statement as a caller sent it, and what its session was acknowledged before.
type sentText struct {
	id, text, proxy string
	at              time.Time
	// values are the session's values by name. They do not change.
	values map[string]string
	// shape is the kind and the shape of the statement that an EXECUTE names, separated by
	// a space.
	shape string
	// transaction is the id that began the session's transaction, empty if none is open.
	transaction string
}

// effect returns what a statement does: its word, READ or WRITE for EXECUTE, the key of a
// read or write, and the value of a write.
func (s *sentText) effect() (word, key, value string) {
	word, rest, _ := strings.Cut(s.text, " ")
	switch word {
	case "READ":
		return word, rest, ""
	case "EXECUTE":
		word, _, _ = strings.Cut(s.shape, " ")
		_, rest, _ = strings.Cut(rest, " ")
	case "WRITE":
	default:
		return word, "", ""
	}
	key, value, _ = strings.Cut(rest, " ")
	return word, key, value
}

// ledger records what callers send, and checks what they receive and what databases run.
type ledger struct {
	mu   sync.Mutex
	sent map[string]*sentText
	// values are those sent for each key. answers and failed count what was received.
	values          map[string][]string
	sets, shapes    map[string]struct{}
	answers, failed int
	mixed           []string
}

func newLedger() *ledger {
	return &ledger{sent: make(map[string]*sentText), values: make(map[string][]string), sets: make(map[string]struct{}), shapes: make(map[string]struct{})}
}

// tracked is a caller's session whose statements and answers a ledger checks.
type tracked struct {
	*standin.Caller
	ledger *ledger
	proxy  string
	// note is told the id of each statement before it is sent, unless it is nil.
	note        func(id string)
	values      map[string]string
	shapes      map[string]string
	transaction string
}

// Query sends one statement and waits for its answer. It returns an error if the answer
// belongs to something else.
func (c *tracked) Query(text string) (standin.Reply, error) {
	sent := &sentText{text: text, proxy: c.proxy, values: c.values, transaction: c.transaction}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	if word == "EXECUTE" {
		sent.shape = c.shapes[name]
	}
	c.BeforeSend = func(id string) {
		sent.id, sent.at = id, time.Now()
		if c.note != nil {
			c.note(id)
		}
		c.ledger.noteSent(sent)
	}
	r, err := c.Caller.Query(text)
	if err != nil {
		return r, err
	}
	if r.Error == "" {
		switch word {
		case "SET":
			c.values = maps.Clone(c.values)
			if c.values == nil {
				c.values = make(map[string]string)
			}
			c.values[name] = value
		case "PREPARE":
			if c.shapes == nil {
				c.shapes = make(map[string]string)
			}
			c.shapes[name] = value
		case "DEALLOCATE":
			delete(c.shapes, name)
		case "BEGIN":
			c.transaction = sent.id
		}
	}
	if r.State == "I" {
		c.transaction = ""
	}
	return r, c.ledger.noteAnswer(sent, r)
}

// begin gives the session values and prepared statements, or neither. It returns false if
// the session can not be used.
func (c *tracked) begin(x *texts) bool {
	var queries []string
	for range x.random.IntN(3) {
		queries = append(queries, "SET "+[]string{"n", x.word("n")}[x.random.IntN(2)]+" "+x.any("value"))
	}
	if x.random.IntN(2) == 0 {
		queries = append(queries, "PREPARE w WRITE "+x.any("shape"), "PREPARE r READ "+x.any("shape"))
	}
	for _, query := range queries {
		if r, err := c.Query(query); err != nil || r.Error != "" {
			return false
		}
	}
	return true
}

// statements returns a write and a read of a key, mostly prepared ones where the session
// has these.
func (c *tracked) statements(x *texts, key, value string) (write, read string) {
	write, read = "WRITE "+key+" "+value, "READ "+key
	if c.shapes != nil && x.random.IntN(4) > 0 {
		write = "EXECUTE w " + key + " " + value
	}
	if c.shapes != nil && x.random.IntN(4) > 0 {
		read = "EXECUTE r " + key
	}
	return write, read
}

func (l *ledger) noteSent(s *sentText) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[s.id] = s
	word, key, value := s.effect()
	switch word {
	case "WRITE":
		l.values[key] = append(l.values[key], value)
	case "SET":
		l.sets[s.text] = struct{}{}
	case "PREPARE":
		l.shapes[strings.SplitN(s.text, " ", 3)[2]] = struct{}{}
	}
}

// noteAnswer checks an answer. It returns an error if it is not that of s.
func (l *ledger) noteAnswer(s *sentText, r standin.Reply) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	if r.Error != "" {
		l.failed++
	}
	reason := l.mixedLocked(s, r)
	if reason == "" {
		return nil
	}
	v := fmt.Sprintf("MIXED %s %.80q through %s, sent at %s, answered at %s with rows %.120q, signature %.80q, error %.80q, state %q: %s",
		s.id, s.text, s.proxy, s.at.Format(time.StampMilli), time.Now().Format(time.StampMilli), r.Rows, r.Signature, r.Error, r.State, reason)
	l.mixed = append(l.mixed, v)
	return fmt.Errorf("answer that is not its own: %s", reason)
}

// mixedLocked returns why an answer is not that of s, empty if it may be.
func (l *ledger) mixedLocked(s *sentText, r standin.Reply) (reason string) {
	word, key, _ := s.effect()
	switch {
	case r.Error != "" && s.transaction == "" && r.State != "I":
		return "no transaction is open"
	case r.Error != "":
		return ""
	}
	inTransaction := s.transaction != "" && word != "COMMIT" && word != "ROLLBACK"
	state := "I"
	if inTransaction || word == "BEGIN" {
		state = "T"
	}
	rows := 0
	if word == "READ" {
		rows = 1
	}
	signed := slices.Contains([]string{"READ", "WRITE", "COMMIT"}, word)
	switch {
	case signed && !strings.HasSuffix(r.Signature, "."+s.id):
		return "another signature"
	case !signed && r.Signature != "-":
		return "a signature where none belongs"
	case len(r.Rows) != rows:
		return fmt.Sprintf("%d rows", len(r.Rows))
	case rows == 1 && r.Rows[0] != "" && !slices.Contains(l.values[key], r.Rows[0]):
		return fmt.Sprintf("the key never had the row; it had %.120q", l.values[key])
	case r.State != state:
		return "another state"
	}
	return ""
}

// after is the prefix that proxies may send.
var after = regexp.MustCompile(`^AFTER [0-9]+\.[0-9]+ $`)

// sameText reports whether a database got the text that a caller sent, with another name of
// a prepared statement at most.
func sameText(sent, arrived string) bool {
	if sent == arrived {
		return true
	}
	a, b := strings.SplitN(sent, " ", 3), strings.SplitN(arrived, " ", 3)
	renamed := a[0] == "EXECUTE" || a[0] == "PREPARE" || a[0] == "DEALLOCATE"
	return renamed && len(a) > 1 && len(a) == len(b) && a[0] == b[0] && slices.Equal(a[2:], b[2:])
}

// checkArrivals returns the statements at databases that no caller sent like this (UNASKED),
// and those that ran in another session's state (PINNED).
func (l *ledger) checkArrivals(arrivals []standin.Arrival) (violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range arrivals {
		s := l.sent[a.ID]
		prefix := strings.TrimSuffix(a.Text, a.Statement)
		reason := ""
		switch {
		case prefix != "" && !after.MatchString(prefix):
			reason = "UNASKED: not a position"
		case a.ID == proxyID:
			reason = l.ownLocked(a)
		case s == nil:
			reason = "UNASKED: no caller sent the id"
		case !sameText(s.text, a.Statement):
			reason = fmt.Sprintf("UNASKED: %s sent %.300q at %s through %s", a.ID, s.text, s.at.Format(time.StampMilli), s.proxy)
		default:
			reason = s.pinned(a)
		}
		if reason != "" {
			violations = append(violations, fmt.Sprintf("%s %.300q arrived at %s at %s: %s", a.ID, a.Text, a.Database, a.At.Format(time.StampMilli), reason))
		}
	}
	return violations
}

// ownStatements are what proxies send to ask whether a log has a position, and to tell
// whether an answer is a repetition of an earlier one.
var ownStatements = []string{"BEGIN READ", "ROLLBACK", "PREPARE fence READ fence", "DEALLOCATE fence"}

// ownLocked checks a statement that a proxy sent on its own account, which may also be one for
// the state of a session.
func (l *ledger) ownLocked(a standin.Arrival) (reason string) {
	word, rest, _ := strings.Cut(a.Statement, " ")
	_, shape, _ := strings.Cut(rest, " ")
	_, set := l.sets[a.Statement]
	_, prepared := l.shapes[shape]
	if set || word == "PREPARE" && prepared || slices.Contains(ownStatements, a.Statement) {
		return ""
	}
	return "UNASKED: no caller sent it"
}

// pinned returns why a read or write that has run did not belong where it ran, empty if it
// did.
func (s *sentText) pinned(a standin.Arrival) (reason string) {
	switch {
	case !a.Ran:
		return ""
	case !maps.Equal(a.Values, s.values):
		return fmt.Sprintf("PINNED: with the values %.200q, acknowledged were %.200q", a.Values, s.values)
	case strings.HasPrefix(s.text, "EXECUTE ") && a.Shape != s.shape:
		return fmt.Sprintf("PINNED: as %.120q, prepared was %.120q", a.Shape, s.shape)
	case a.Transaction != s.transaction:
		return fmt.Sprintf("PINNED: in the transaction %q, sent in %q", a.Transaction, s.transaction)
	}
	return ""
}

// checkValues returns the committed values that no caller sent.
func (l *ledger) checkValues(committed map[string]string) (violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, value := range committed {
		if !slices.Contains(l.values[key], value) {
			violations = append(violations, fmt.Sprintf("UNASKED: %.80q holds %.300q, callers sent %.300q", key, value, l.values[key]))
		}
	}
	return violations
}

// check returns all violations, and logs how much there was to check.
func (l *ledger) check(t *testing.T, g *standin.Group) (violations []string) {
	arrivals := g.Arrivals()
	violations = append(slices.Clone(l.mixed), l.checkArrivals(arrivals)...)
	violations = append(violations, l.checkValues(g.Values())...)
	counts := make(map[string]int)
	for _, v := range violations {
		for _, rule := range []string{"MIXED", "UNASKED", "PINNED"} {
			if strings.HasPrefix(v, rule) || strings.Contains(v, ": "+rule+": ") {
				counts[rule]++
			}
		}
	}
	forwarded := 0
	for _, a := range arrivals {
		if s := l.sent[a.ID]; s != nil && strings.HasPrefix(a.User, "front-") && a.User != s.proxy {
			forwarded++
		}
	}
	repeated, cuts := g.FaultyAnswers()
	t.Logf("%d answers, %d of them failures, %d arrivals, %d through another proxy, %d answers repeated, %d cut: %d MIXED, %d UNASKED, %d PINNED",
		l.answers, l.failed, len(arrivals), forwarded, repeated, cuts, counts["MIXED"], counts["UNASKED"], counts["PINNED"])
	return violations
}

// Guards against checks of answers and texts that pass whatever callers and databases get.
func TestLedgerDetectsViolations(t *testing.T) {
	l := newLedger()
	sent := func(id, text, shape, transaction string) *sentText {
		s := &sentText{id: id, text: text, shape: shape, transaction: transaction, values: map[string]string{"n": "\n"}}
		l.noteSent(s)
		return s
	}
	write, read := sent("q1", "WRITE a \nb", "", ""), sent("q2", "READ a", "", "")
	begin, commit := sent("q3", "BEGIN", "", ""), sent("q4", "COMMIT", "", "q3")
	execute, within := sent("q5", "EXECUTE s a c", "WRITE q", ""), sent("q6", "READ a", "", "q3")
	executeRead := sent("q7", "EXECUTE r a", "READ q", "")
	sent("q8", "SET n \n", "", "")
	sent("q9", "PREPARE s WRITE q", "", "")
	sent("q11", "WRITE z z", "", "")
	for _, c := range []struct {
		sent  *sentText
		reply standin.Reply
		want  string
	}{
		{write, standin.Reply{Signature: "sig.a.1.q1", State: "I"}, ""},
		{write, standin.Reply{Error: "BUSY x", State: "I"}, ""},
		{write, standin.Reply{Error: "BUSY x", State: "T"}, "no transaction is open"},
		{write, standin.Reply{Signature: "sig.a.1.q11", State: "I"}, "another signature"},
		{write, standin.Reply{Signature: "-", State: "I"}, "another signature"},
		{write, standin.Reply{Signature: "forged", State: "I"}, "another signature"},
		{write, standin.Reply{Signature: "sig.a.1.q1", State: "T"}, "another state"},
		{write, standin.Reply{Rows: []string{"x"}, Signature: "sig.a.1.q1", State: "I"}, "1 rows"},
		{read, standin.Reply{Rows: []string{"\nb"}, Signature: "sig.a.1.q2", State: "I"}, ""},
		{read, standin.Reply{Rows: []string{""}, Signature: "sig.a.1.q2", State: "I"}, ""},
		{read, standin.Reply{Rows: []string{"b"}, Signature: "sig.a.1.q2", State: "I"}, "never had the row"},
		{read, standin.Reply{Rows: []string{"z"}, Signature: "sig.a.1.q2", State: "I"}, "never had the row"},
		{read, standin.Reply{Signature: "sig.a.1.q2", State: "I"}, "0 rows"},
		{begin, standin.Reply{Signature: "-", State: "T"}, ""},
		{begin, standin.Reply{Signature: "-", State: "I"}, "another state"},
		{begin, standin.Reply{Signature: "sig.a.1.q1", State: "T"}, "none belongs"},
		{commit, standin.Reply{Signature: "sig.a.1.q4", State: "I"}, ""},
		{commit, standin.Reply{Signature: "-", State: "I"}, "another signature"},
		{execute, standin.Reply{Signature: "sig.a.1.q5", State: "I"}, ""},
		{execute, standin.Reply{Rows: []string{"\nb"}, Signature: "sig.a.1.q5", State: "I"}, "1 rows"},
		{executeRead, standin.Reply{Rows: []string{"c"}, Signature: "sig.a.1.q7", State: "I"}, ""},
		{within, standin.Reply{Rows: []string{"c"}, Signature: "sig.a.1.q6", State: "T"}, ""},
		{within, standin.Reply{Rows: []string{"c"}, Signature: "sig.a.1.q6", State: "I"}, "another state"},
	} {
		l.mixed = nil
		err := l.noteAnswer(c.sent, c.reply)
		if c.want == "" {
			require.NoError(t, err, "%q %v", c.sent.text, c.reply)
			require.Empty(t, l.mixed)
			continue
		}
		require.ErrorContains(t, err, c.want)
		require.Contains(t, strings.Join(l.mixed, "\n"), c.want)
	}
	values := map[string]string{"n": "\n"}
	for _, c := range []struct {
		arrival standin.Arrival
		want    string
	}{
		{standin.Arrival{ID: "q1", Statement: "WRITE a \nb", Values: values, Ran: true}, ""},
		{standin.Arrival{ID: "q1", Statement: "WRITE a ", Values: values, Ran: true}, "UNASKED"},
		{standin.Arrival{ID: "q1", Statement: "WRITE a b", Values: values}, "UNASKED"},
		{standin.Arrival{ID: "q1", Statement: "WRITE a  \nb"}, "UNASKED"},
		{standin.Arrival{ID: "x", Statement: "WRITE a b"}, "no caller sent the id"},
		{standin.Arrival{ID: proxyID, Statement: "WRITE a \nb"}, "no caller sent it"},
		{standin.Arrival{ID: proxyID, Statement: "COMMIT"}, "no caller sent it"},
		{standin.Arrival{ID: proxyID, Statement: "SET n \n"}, ""},
		{standin.Arrival{ID: proxyID, Statement: "SET n "}, "no caller sent it"},
		{standin.Arrival{ID: proxyID, Statement: "PREPARE p1 WRITE q"}, ""},
		{standin.Arrival{ID: proxyID, Statement: "PREPARE p1 WRITE q "}, "no caller sent it"},
		{standin.Arrival{ID: proxyID, Statement: "PREPARE fence READ fence"}, ""},
		{standin.Arrival{ID: proxyID, Statement: "PREPARE fence WRITE fence"}, "no caller sent it"},
		{standin.Arrival{ID: proxyID, Statement: "DEALLOCATE fence"}, ""},
		{standin.Arrival{ID: proxyID, Statement: "DEALLOCATE p1"}, "no caller sent it"},
		{standin.Arrival{ID: "q2", Text: "AFTER 1.1 READ a", Statement: "READ a", Values: values, Ran: true}, ""},
		{standin.Arrival{ID: "q2", Text: "AFTER x READ a", Statement: "READ a", Values: values, Ran: true}, "not a position"},
		{standin.Arrival{ID: "q2", Statement: "READ a", Ran: true}, "PINNED: with the values"},
		{standin.Arrival{ID: "q2", Statement: "READ a"}, ""},
		{standin.Arrival{ID: "q2", Statement: "READ a", Values: values, Ran: true, Transaction: "q3"}, "PINNED: in the transaction"},
		{standin.Arrival{ID: "q6", Statement: "READ a", Values: values, Ran: true}, "PINNED: in the transaction"},
		{standin.Arrival{ID: "q6", Statement: "READ a", Values: values, Ran: true, Transaction: "q3"}, ""},
		{standin.Arrival{ID: "q5", Statement: "EXECUTE p1 a c", Values: values, Ran: true, Shape: "WRITE q"}, ""},
		{standin.Arrival{ID: "q5", Statement: "EXECUTE p1 a c", Values: values, Ran: true, Shape: "WRITE "}, "PINNED: as"},
		{standin.Arrival{ID: "q5", Statement: "EXECUTE p1 a", Values: values, Ran: true, Shape: "WRITE q"}, "UNASKED"},
	} {
		a := c.arrival
		if a.Text == "" {
			a.Text = a.Statement
		}
		got := l.checkArrivals([]standin.Arrival{a})
		if c.want == "" {
			require.Empty(t, got)
			continue
		}
		require.Len(t, got, 1, "%+v", a)
		require.Contains(t, got[0], c.want)
	}
	require.Empty(t, l.checkValues(map[string]string{"a": "\nb"}))
	require.Len(t, l.checkValues(map[string]string{"a": "", "x": "y"}), 2)
}
