package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
)

// sessionKind is the way in which a session keeps its consistency when it moves
// between proxies.
type sessionKind int

const (
	// kindReconnecting opens a new connection for every request and does not
	// use tokens.
	kindReconnecting sessionKind = iota
	// kindToken passes the last session token to the next proxy.
	kindToken
	// kindShared sets the same session name on all of its connections.
	kindShared
	kindCount
)

// loadSession is one session of a load. It sends each request to a random
// proxy.
type loadSession struct {
	load   *Load
	number int
	kind   sessionKind
	random *rand.Rand
	conns  []*pgx.Conn
	token  string
	// lastSaved is the sequence number of the last acknowledged booking.
	lastSaved int64
	// sequence numbers the session's writes, from 1.
	sequence int64
}

// runSession sends random requests until the load is stopped.
func (l *Load) runSession(number int, random *rand.Rand) {
	s := &loadSession{
		load: l, number: number, kind: sessionKind(number % int(kindCount)), random: random,
		conns: make([]*pgx.Conn, len(l.settings.Addresses)),
	}
	defer s.closeAll()
	for !l.stopped() {
		s.runRequest()
		l.sleep(l.settings.Pause)
	}
}

func (s *loadSession) closeAll() {
	for _, c := range s.conns {
		closeConn(c)
	}
}

// runRequest sends one random request: a booking (20%), a transfer (10%), a
// read of the session's own bookings (20% without and 20% with a maximum age)
// or a stock read (30%).
func (s *loadSession) runRequest() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c := s.connection(ctx)
	if c == nil {
		s.load.sleep(stockInterval)
		return
	}
	switch n := s.random.IntN(10); {
	case n < 2:
		s.book(ctx, c)
	case n < 3:
		s.transfer(ctx, c)
	case n < 5:
		s.readBack(ctx, c, "")
	case n < 7:
		s.readBack(ctx, c, " /*maxAge='2s'*/")
	default:
		s.readStock(ctx, c)
	}
	if s.kind == kindToken {
		if token := c.PgConn().ParameterStatus("oleanderflow.token"); token != "" {
			s.token = token
		}
	}
}

// connection returns a connection to a random proxy, or nil if the proxy cannot
// be reached or refuses the session token.
func (s *loadSession) connection(ctx context.Context) *pgx.Conn {
	i := s.random.IntN(len(s.conns))
	if s.kind == kindReconnecting {
		closeConn(s.conns[i])
		s.conns[i] = nil
	}
	if s.conns[i] == nil || s.conns[i].IsClosed() {
		c, err := s.load.connect(ctx, i, s.parameters())
		if err != nil {
			return nil
		}
		s.conns[i] = c
		return c
	}
	if s.kind == kindToken && s.token != "" {
		if _, err := s.conns[i].Exec(ctx, "SET oleanderflow.token = '"+s.token+"'"); err != nil {
			return nil
		}
	}
	return s.conns[i]
}

// parameters returns the query parameters that identify the session to a proxy.
func (s *loadSession) parameters() string {
	switch {
	case s.kind == kindShared:
		return fmt.Sprintf("&oleanderflow.session=session-%d", s.number)
	case s.kind == kindToken && s.token != "":
		return "&oleanderflow.token=" + s.token
	}
	return ""
}

// book inserts one booking, which must run at most once.
func (s *loadSession) book(ctx context.Context, c *pgx.Conn) {
	s.sequence++
	id := fmt.Sprintf("booking-%d-%d", s.number, s.sequence)
	began := time.Now()
	_, err := c.Exec(ctx, "INSERT INTO bookings (id, session, number) VALUES ($1, $2, $3)", id, s.number, s.sequence)
	o := classify(err)
	s.load.record.noteError(err)
	s.load.record.noteWrite(id, o, began)
	if o == outcomeAcknowledged {
		s.lastSaved = s.sequence
	}
}

// transfer inserts two rows in one transaction.
func (s *loadSession) transfer(ctx context.Context, c *pgx.Conn) {
	s.sequence++
	id := fmt.Sprintf("transfer-%d-%d", s.number, s.sequence)
	began := time.Now()
	err := s.runTransfer(ctx, c, id)
	o := classify(err)
	s.load.record.noteError(err)
	s.load.record.noteWrite(id, o, began)
}

func (s *loadSession) runTransfer(ctx context.Context, c *pgx.Conn, id string) error {
	tx, err := c.Begin(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = tx.Rollback(context.Background()) }()
	for part := range 2 {
		if _, err := tx.Exec(ctx, "INSERT INTO transfers (id, part) VALUES ($1, $2)", id, part); err != nil {
			return err
		}
	}
	var parts int
	if err := tx.QueryRow(ctx, "SELECT count(*) FROM transfers WHERE id = $1", id).Scan(&parts); err != nil {
		return err
	}
	s.load.record.check(guaranteeAtomicity, parts == 2, func() string {
		return fmt.Sprintf("%s saw %d of its 2 parts", id, parts)
	})
	return tx.Commit(ctx)
}

// readBack reads the session's last booking. The nonce in the query shows
// whether the answer belongs to this request.
func (s *loadSession) readBack(ctx context.Context, c *pgx.Conn, tag string) {
	nonce := fmt.Sprintf("n%d-%d", s.number, s.random.Uint32())
	var got string
	var number int64
	err := c.QueryRow(ctx, "SELECT $1 AS nonce, coalesce(max(number), 0) AS number FROM bookings WHERE session = $2"+tag, nonce, s.number).
		Scan(&got, intScanner{&number})
	o := classify(err)
	s.load.record.noteError(err)
	s.load.record.noteRead(o)
	if o != outcomeAcknowledged {
		return
	}
	s.load.record.check(guaranteeOwnAnswer, got == nonce, func() string { return "asked with " + nonce + ", answered " + got })
	s.load.record.check(guaranteeReadYourWrites, number >= s.lastSaved, func() string {
		return fmt.Sprintf("session %d (style %d) saved %d and read %d%s", s.number, s.kind, s.lastSaved, number, tag)
	})
}

// readStock reads the stock count with a maximum age of stockMaxAge and checks
// that the count is not older.
func (s *loadSession) readStock(ctx context.Context, c *pgx.Conn) {
	began := time.Now()
	minPieces := s.load.record.minStock(began, stockMaxAge)
	var pieces int64
	err := c.QueryRow(ctx, "SELECT pieces FROM stock WHERE id = 1 /*maxAge='"+stockMaxAge.String()+"'*/").Scan(&pieces)
	o := classify(err)
	s.load.record.noteError(err)
	s.load.record.noteRead(o)
	if o != outcomeAcknowledged {
		return
	}
	s.load.record.check(guaranteeMaxAge, pieces >= minPieces, func() string {
		return fmt.Sprintf("stock read as %d, at least %d was acknowledged more than %s before", pieces, minPieces, stockMaxAge)
	})
}
