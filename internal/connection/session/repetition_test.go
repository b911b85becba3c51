package session

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

func isBegin(o statement.Operation) bool { _, ok := o.(statement.Begin); return ok }

// onceArmed matches what matches does once armed is set: the operations before may be
// those of a fence.
func onceArmed(armed *atomic.Bool, matches func(statement.Operation) bool) func(statement.Operation) bool {
	return func(o statement.Operation) bool { return armed.Load() && matches(o) }
}

// awaitQuietPool waits until the status that follows the opening of a connection was served.
func awaitQuietPool(t *testing.T, d *memoryDatabase, g *backend.GroupClient) {
	t.Helper()
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.statuses > 0 && g.Pool("a").Stats().Idle == 1
	}, time.Second, time.Millisecond)
}

// A BEGIN that failed with LAGGING, READONLY or BUSY was answered with the second delivery
// of an earlier BEGIN: its first statement ran outside a transaction (PINNED).
func TestStatementAfterASecondDeliveryOfABeginRunsInItsTransaction(t *testing.T) {
	for name, c := range map[string]struct {
		readOnly bool
		code     statement.Code
	}{"LAGGING": {true, statement.CodeLagging}, "READONLY": {false, statement.CodeReadOnly}, "BUSY": {false, statement.CodeBusy}} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			g.SetMaxOpen(1)
			s := newMemorySession(g, 1, routes.BoundedAge)
			d.repeatOnce(isBegin, repetition{before: isBegin, slow: true})
			requireServed(t, s, "begin-1", statement.Begin{ReadOnly: c.readOnly})
			requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
			requireServed(t, s, "end-1", statement.Commit{})
			awaitQuietPool(t, d, g)
			d.failOnce(isBegin, c.code)
			requireServed(t, s, "begin-2", statement.Begin{ReadOnly: c.readOnly})
			f := s.request("read-2", statement.Read{Text: "READ a"})
			t.Log("answer:", f)
			for _, r := range d.runs("read-2") {
				require.True(t, r.inTransaction, "read-2 ran outside its transaction")
			}
		})
	}
}

// The same with a write: it was committed though its caller was told ABORTED and never sent
// COMMIT (REFUSED, UNASKED).
func TestWriteAfterASecondDeliveryOfABeginIsNotCommitted(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.repeatOnce(isBegin, repetition{before: isBegin, slow: true})
	requireServed(t, s, "begin-1", statement.Begin{})
	requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
	requireServed(t, s, "end-1", statement.Commit{})
	awaitQuietPool(t, d, g)
	d.failOnce(isBegin, statement.CodeBusy)
	requireServed(t, s, "begin-2", statement.Begin{})
	f := s.request("write-2", statement.Write{Text: "WRITE a 2"})
	t.Log("answer:", f)
	requireServed(t, s, "end-2", statement.Rollback{})
	require.NotContains(t, d.commits(), "WRITE a 2", "the caller was answered %v and sent ROLLBACK", f)
}

// A ROLLBACK that failed was answered with the second delivery of an earlier success: its
// connection went to another session with the transaction open (PINNED).
func TestSecondDeliveryOfARollbackLeavesNoTransactionToOthers(t *testing.T) {
	d := &memoryDatabase{keepOpen: true}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	first, second := newMemorySession(g, 1, routes.BoundedAge), newMemorySession(g, 2, routes.BoundedAge)
	var armed atomic.Bool
	d.repeatOnce(isRollback, repetition{before: onceArmed(&armed, isRollback), slow: true})
	requireServed(t, first, "begin-1", statement.Begin{ReadOnly: true})
	requireServed(t, first, "read-1", statement.Read{Text: "READ a"})
	requireServed(t, first, "end-1", statement.Rollback{})
	awaitQuietPool(t, d, g)
	requireServed(t, first, "begin-2", statement.Begin{ReadOnly: true})
	requireServed(t, first, "read-2", statement.Read{Text: "READ a"})
	d.failOnce(isRollback, statement.CodeBusy)
	armed.Store(true)
	requireServed(t, first, "end-2", statement.Rollback{})
	f := second.request("other", statement.Read{Text: "READ a"})
	t.Log("answer:", f)
	for _, r := range d.runs("other") {
		require.False(t, r.inTransaction, "other ran in transaction %s", r.transaction)
	}
}

// A SET in a transaction that failed with BUSY was answered with the second delivery of the
// BEGIN: the next statement ran without the acknowledged value (PINNED).
func TestSecondDeliveryOfABeginDoesNotSetAValue(t *testing.T) {
	d := &memoryDatabase{keepOpen: true}
	g := newMemoryGroup(t, d)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.repeatOnce(isBegin, repetition{before: isSet, slow: true})
	requireServed(t, s, "begin-1", statement.Begin{ReadOnly: true})
	requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
	d.failOnce(isSet, statement.CodeBusy)
	if f := s.request("set", statement.Set{Name: "tag", Text: "SET tag own"}); f != nil {
		return
	}
	f := s.request("read-2", statement.Read{Text: "READ a"})
	t.Log("answer:", f)
	for _, r := range d.runs("read-2") {
		require.Equal(t, "SET tag own", r.values["tag"])
	}
}

// Only the first of equal answers was remembered: after 128 others, one that had just been
// delivered was new, and a write that ran was answered with it and ran again (TWICE).
func TestRecentFailureIsRemembered(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.failOnce(isRead, statement.CodeBusy)
	require.True(t, requireOwnRow(t, s, "first"))
	for i := range 120 {
		require.True(t, requireOwnRow(t, s, fmt.Sprint("before-", i)))
	}
	// The same failure again, which arrives a second time 11 answers later.
	d.failOnce(isRead, statement.CodeBusy)
	d.repeatOnce(isRead, repetition{before: isWrite, slow: true})
	for i := range 10 {
		require.True(t, requireOwnRow(t, s, fmt.Sprint("after-", i)))
	}
	f := s.request("write", statement.Write{Text: "WRITE a 1"})
	require.LessOrEqual(t, len(d.commits()), 1, "answered %v", f)
	if f != nil {
		require.Equal(t, statement.CodeInDoubt, f.Code)
	}
}

// After 128 answers, a second delivery of a signed one was the answer to a read (MIXED).
func TestSignatureIsRememberedForLong(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	require.True(t, requireOwnRow(t, s, "first"))
	left := 140
	d.repeatOnce(isRead, repetition{slow: true, before: func(o statement.Operation) bool {
		if isRead(o) {
			left--
		}
		return left == 0
	}})
	for i := range 150 {
		requireOwnRow(t, s, fmt.Sprint("read-", i))
	}
}

// The row of a status that goes ahead of a read was a second delivery, and the read failed
// with the BUSY of the status: the row was taken for proof of the lead (STALE).
func TestSecondDeliveryOfAStatusAheadOfAReadIsNoProof(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.Primary)
	require.True(t, requireOwnRow(t, s, "first"))
	awaitQuietPool(t, d, g)
	d.repeatOnce(isStatus, repetition{before: isStatus, slow: true})
	_, err := g.Command("a", statement.Status{}, clock.Second)
	require.NoError(t, err)
	d.mu.Lock()
	d.replica = true
	d.mu.Unlock()
	d.failOnce(isStatus, statement.CodeBusy)
	backend.Sleep(3)
	led := g.LedAt()
	f := s.request("second", statement.Read{Text: "READ a"})
	require.NotNil(t, f, "a read of a primary route was served by a replica")
	require.Equal(t, led, g.LedAt(), "a database that does not lead is proved to lead")
}

// The answer of a request before was taken for that to the BEGIN that tells whether a log
// has a commit: the caller was told ABORTED for a commit that is kept (REFUSED), or success
// for one that is not.
func TestSecondDeliveryDoesNotTellWhetherALogHasACommit(t *testing.T) {
	for name, code := range map[string]statement.Code{"LAGGING": statement.CodeLagging, "success": 0} {
		t.Run(name, func(t *testing.T) {
			d := &memoryDatabase{}
			g := newMemoryGroup(t, d)
			g.SetMaxOpen(1)
			s := newMemorySession(g, 1, routes.Primary)
			m, ok := g.Primary()
			require.True(t, ok)
			contains := func() (bool, error) {
				return s.logContains(g, m, position.Position{Term: 1}, s.Clock.Now().Add(1000))
			}
			if code != 0 {
				d.failOnce(isBegin, code)
			}
			var armed atomic.Bool
			d.repeatOnce(isBegin, repetition{before: onceArmed(&armed, isBegin), slow: true})
			_, err := contains()
			require.NoError(t, err)
			awaitQuietPool(t, d, g)
			// This one is not told.
			d.failOnce(isBegin, statement.CodeBusy)
			armed.Store(true)
			contained, err := contains()
			require.Error(t, err, "contained: %v", contained)
		})
	}
}

// delayedDialer delays each exchange.
type delayedDialer struct {
	backend.Dialer
	delay *time.Duration
}

type delayedConn struct {
	backend.Conn
	delay *time.Duration
}

func (d delayedDialer) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	c, a, err := d.Dialer.Dial(ctx, to)
	return &delayedConn{c, d.delay}, a, err
}

func (c *delayedConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	if *c.delay > limit.Std() {
		time.Sleep(max(limit.Std(), 0))
		return 0, context.DeadlineExceeded
	}
	time.Sleep(*c.delay)
	return c.Conn.Exchange(limit, requests, answers)
}

func newGroupOf(t *testing.T, dialer backend.Dialer) *backend.GroupClient {
	return newLoggedGroup(t, dialer, zap.NewNop())
}

func newLoggedGroup(t *testing.T, dialer backend.Dialer, log *zap.Logger) *backend.GroupClient {
	c := clock.NewBoot()
	g := backend.NewGroupClient("shop", "z", backend.DefaultSettings(), dialer, c, log, func() {})
	g.Update(group.Entry{ID: "a", Group: "shop", Address: "a", Slots: 4, Role: database.RolePrimary})
	now := c.Now()
	g.ObserveStatus("a", now, now, database.Status{Role: database.RolePrimary, Term: 1})
	t.Cleanup(g.Close)
	return g
}

// A primary that answers each status within its limit counted as failing, because its row
// was the same as before and there was no time left to verify it.
func TestSlowStatusThatEqualsAnEarlierOneIsAnAnswer(t *testing.T) {
	delay := time.Duration(0)
	g := newGroupOf(t, delayedDialer{&memoryDatabase{}, &delay})
	g.SetMaxOpen(1)
	_, err := g.Command("a", statement.Status{}, clock.Second)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.Pool("a").Stats().Idle == 1 }, time.Second, time.Millisecond)
	backend.Sleep(20)
	delay = 250 * time.Millisecond
	_, err = g.Command("a", statement.Status{}, 400)
	require.Zero(t, g.Members()[0].FailingSince, "command: %v", err)
}

// Bytes that were there to read before a database fell silent counted as an answer of now.
func TestBytesOfBeforeAreNoAnswerOfNow(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	s := newMemorySession(g, 1, routes.BoundedAge)
	requireServed(t, s, "begin", statement.Begin{ReadOnly: true})
	requireServed(t, s, "read-1", statement.Read{Text: "READ a"})
	d.repeatOnce(isRead, repetition{before: isAny, unread: true})
	requireServed(t, s, "read-2", statement.Read{Text: "READ a"})
	backend.Sleep(5)
	require.True(t, g.RecordFailure("a", s.Clock.Now()))
	require.NotNil(t, s.request("read-3", statement.Read{Text: "READ a"}))
	require.NotZero(t, g.Members()[0].FailingSince, "nothing was sent to the database, and it counts as answering")
}

// greetingTwice delivers its greeting twice.
type greetingTwice struct{ *memoryDatabase }

func (d greetingTwice) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	time.Sleep(time.Millisecond)
	c, a, err := d.memoryDatabase.Dial(ctx, to)
	c.(*memoryConn).arrived = append(c.(*memoryConn).arrived, statement.Answer{})
	return c, a, err
}

// Connections with unread bytes were replaced without a pause.
func TestDatabaseThatRepeatsItsGreetingIsNotDialedWithoutAPause(t *testing.T) {
	d := &memoryDatabase{}
	g := newGroupOf(t, greetingTwice{d})
	s := newMemorySession(g, 1, routes.BoundedAge)
	f := s.request("read", statement.Read{Text: "READ a"})
	require.NotNil(t, f)
	require.LessOrEqual(t, d.dialCount(), 40, "within a request of %v", 400*time.Millisecond)
}

// A fence was passed with second deliveries of an earlier fence: a write that ran was
// answered with an earlier BUSY and ran again (TWICE). Three repeated answers.
func TestSecondDeliveryOfAFenceDoesNotVerify(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.Primary)
	require.True(t, requireOwnRow(t, s, "first"))
	awaitQuietPool(t, d, g)
	armed := false
	late := repetition{before: func(o statement.Operation) bool { return armed && isWrite(o) }, slow: true}
	// BUSY, which is repeated late.
	d.failOnce(isRead, statement.CodeBusy)
	d.repeatOnce(isRead, late)
	require.True(t, requireOwnRow(t, s, "read"))
	// A status that equals an earlier one and is followed by a fence, whose two answers are
	// repeated late too.
	d.mu.Lock()
	d.repeat = func(o statement.Operation, _ *statement.Answer) repetition {
		if isBegin(o) || isRollback(o) {
			return late
		}
		return repetition{}
	}
	before := d.fences
	d.mu.Unlock()
	_, err := g.Command("a", statement.Status{}, clock.Second)
	require.NoError(t, err)
	d.mu.Lock()
	d.repeat = nil
	fences := d.fences
	d.mu.Unlock()
	require.Equal(t, before+1, fences)
	armed = true
	f := s.request("write-2", statement.Write{Text: "WRITE a 2"})
	kept := 0
	for _, text := range d.commits() {
		if text == "WRITE a 2" {
			kept++
		}
	}
	require.LessOrEqual(t, kept, 1, "answered %v", f)
	if f != nil && f.Code != statement.CodeInDoubt {
		require.Zero(t, kept, "answered %v", f)
	}
}

// A BUSY that equals an earlier one was no answer of the database, which counted as failing.
func TestBusyDatabaseCountsAsAnswering(t *testing.T) {
	d := &memoryDatabase{}
	g := newMemoryGroup(t, d)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	require.True(t, requireOwnRow(t, s, "first"))
	awaitQuietPool(t, d, g)
	d.setFail(func(o statement.Operation) *statement.Failure {
		if isRead(o) {
			return &statement.Failure{Code: statement.CodeBusy, Text: "a"}
		}
		return nil
	})
	require.False(t, requireOwnRow(t, s, "busy-1"))
	backend.Sleep(2)
	g.RecordFailure("a", s.Clock.Now())
	backend.Sleep(2)
	require.False(t, requireOwnRow(t, s, "busy-2"))
	require.Zero(t, g.Members()[0].FailingSince, "the database has answered BUSY")
}

// lateConn finds unread bytes only in the second probe of a request.
type lateConn struct {
	backend.Conn
	armed *bool
	bytes int
}

type lateDialer struct {
	backend.Dialer
	armed *bool
}

func (d lateDialer) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	c, a, err := d.Dialer.Dial(ctx, to)
	return &lateConn{Conn: c, armed: d.armed}, a, err
}

func (c *lateConn) Check(requests []statement.Request) error {
	if _, writes := requests[0].Operation.(statement.Write); writes && *c.armed {
		*c.armed = false
		c.bytes = 9
		backend.Sleep(2)
	}
	return c.Conn.Check(requests)
}

func (c *lateConn) Unread() (int, error) {
	if c.bytes > 0 {
		return c.bytes, nil
	}
	return c.Conn.Unread()
}

// A write that was not sent, because bytes arrived between the two probes, was in doubt.
func TestWriteThatWasNotSentIsNotInDoubt(t *testing.T) {
	armed := true
	d := &memoryDatabase{}
	g := newGroupOf(t, lateDialer{d, &armed})
	s := newMemorySession(g, 1, routes.Primary)
	f := s.request("write", statement.Write{Text: "WRITE a 1"})
	require.False(t, armed)
	if f != nil {
		require.NotEqual(t, statement.CodeInDoubt, f.Code, "nothing was sent: %v", d.commits())
	}
}

// A write that a slow database refused with BUSY was in doubt, because there was no time left
// to verify a failure that equals an earlier one.
func TestSlowBusyIsAPromise(t *testing.T) {
	delay := time.Duration(0)
	d := &memoryDatabase{}
	g := newGroupOf(t, delayedDialer{d, &delay})
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.failOnce(isRead, statement.CodeBusy)
	require.True(t, requireOwnRow(t, s, "first"))
	awaitQuietPool(t, d, g)
	d.failOnce(isWrite, statement.CodeBusy)
	delay = 210 * time.Millisecond
	f := s.request("write", statement.Write{Text: "WRITE a 1"})
	require.NotNil(t, f)
	require.Equal(t, statement.CodeBusy, f.Code, "commits: %v", d.commits())
}

// A BEGIN that was answered with the second delivery of a BUSY left its transaction open on a
// connection in the pool.
func TestSecondDeliveryOfABusyLeavesNoTransactionOpen(t *testing.T) {
	d := &memoryDatabase{}
	conns := &keptDialer{Dialer: d}
	g := newGroupOf(t, conns)
	g.SetMaxOpen(1)
	s := newMemorySession(g, 1, routes.BoundedAge)
	d.failOnce(isRead, statement.CodeBusy)
	d.repeatOnce(isRead, repetition{before: isBegin, slow: true})
	require.True(t, requireOwnRow(t, s, "first"))
	awaitQuietPool(t, d, g)
	requireServed(t, s, "begin", statement.Begin{ReadOnly: true})
	s.Configuration.Load().Routes["fills"].Timeout = 1
	f := s.request("read", statement.Read{Text: "READ a"})
	s.request("end", statement.Rollback{})
	t.Log("answer:", f)
	backend.Sleep(100)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range conns.kept {
		require.Equal(t, statement.Idle, c.state, "of a connection in the pool: %+v", g.Pool("a").Stats())
	}
}

type keptDialer struct {
	backend.Dialer
	kept []*memoryConn
}

func (d *keptDialer) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	c, a, err := d.Dialer.Dial(ctx, to)
	d.kept = append(d.kept, c.(*memoryConn))
	return c, a, err
}

// unfencedDialer opens connections on which fences that go alone fail.
type unfencedDialer struct{ backend.Dialer }

type unfencedConn struct{ backend.Conn }

func (d unfencedDialer) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	c, a, err := d.Dialer.Dial(ctx, to)
	return &unfencedConn{c}, a, err
}

func (c *unfencedConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	if isBegin(requests[0].Operation) && requests[0].ID == "" {
		return 0, context.DeadlineExceeded
	}
	return c.Conn.Exchange(limit, requests, answers)
}

// A write was in doubt since the fence behind its failure was not answered, and no line said so.
func TestFenceWithoutAnAnswerIsLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	d := &memoryDatabase{fail: func(o statement.Operation) *statement.Failure {
		if isWrite(o) {
			return &statement.Failure{Code: statement.CodeFailed, Text: "a"}
		}
		return nil
	}}
	g := newLoggedGroup(t, unfencedDialer{d}, zap.New(core))
	s := newMemorySession(g, 1, routes.BoundedAge)
	var inDoubt []string
	for i := range 40 {
		id := fmt.Sprint("write-", i)
		f := s.request(id, statement.Write{Text: "WRITE a 1"})
		require.NotNil(t, f)
		if f.Code == statement.CodeInDoubt {
			inDoubt = append(inDoubt, id)
		}
	}
	require.GreaterOrEqual(t, len(inDoubt), 10)
	lines := logs.FilterMessage("failure not verified").All()
	require.NotEmpty(t, lines)
	require.Equal(t, map[string]any{"group": "shop", "database": "a", "request": inDoubt[0], "error": context.DeadlineExceeded.Error()}, lines[0].ContextMap())
	require.Less(t, len(lines), len(inDoubt))
}
