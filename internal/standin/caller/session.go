package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
)

// style is how a session keeps its place when it roams.
type style int

const (
	// styleFresh opens a new connection for every statement and knows
	// nothing of tokens.
	styleFresh style = iota
	// styleToken carries its token from proxy to proxy.
	styleToken
	// styleShared declares that it runs on several connections.
	styleShared
	styleCount
)

// roamer is one session that uses another proxy with every statement.
type roamer struct {
	load   *Load
	number int
	style  style
	source *rand.Rand
	conns  []*pgx.Conn
	token  string
	// saved is the number of the session's last acknowledged booking.
	saved int64
	next  int64
}

func (l *Load) session(number int, source *rand.Rand) {
	r := &roamer{
		load: l, number: number, style: style(number % int(styleCount)), source: source,
		conns: make([]*pgx.Conn, len(l.settings.Addresses)),
	}
	defer r.closeAll()
	for !l.stopped() {
		r.step()
		l.sleep(l.settings.Pause)
	}
}

func (r *roamer) closeAll() {
	for _, c := range r.conns {
		closeConn(c)
	}
}

func (r *roamer) step() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c := r.roam(ctx)
	if c == nil {
		r.load.sleep(stockInterval)
		return
	}
	switch n := r.source.IntN(10); {
	case n < 2:
		r.book(ctx, c)
	case n < 3:
		r.transfer(ctx, c)
	case n < 5:
		r.readOwn(ctx, c, "")
	case n < 7:
		r.readOwn(ctx, c, " /*maxAge='2s'*/")
	default:
		r.pullStock(ctx, c)
	}
	if r.style == styleToken {
		if token := c.PgConn().ParameterStatus("oleanderflow.token"); token != "" {
			r.token = token
		}
	}
}

// roam returns a connection to a proxy chosen at random, nil if there is
// none.
func (r *roamer) roam(ctx context.Context) *pgx.Conn {
	i := r.source.IntN(len(r.conns))
	if r.style == styleFresh {
		closeConn(r.conns[i])
		r.conns[i] = nil
	}
	if r.conns[i] == nil || r.conns[i].IsClosed() {
		c, err := r.load.connect(ctx, i, r.parameters())
		if err != nil {
			return nil
		}
		r.conns[i] = c
		return c
	}
	if r.style == styleToken && r.token != "" {
		if _, err := r.conns[i].Exec(ctx, "SET oleanderflow.token = '"+r.token+"'"); err != nil {
			return nil
		}
	}
	return r.conns[i]
}

func (r *roamer) parameters() string {
	switch {
	case r.style == styleShared:
		return fmt.Sprintf("&oleanderflow.session=session-%d", r.number)
	case r.style == styleToken && r.token != "":
		return "&oleanderflow.token=" + r.token
	}
	return ""
}

// book saves a booking that must run at most once.
func (r *roamer) book(ctx context.Context, c *pgx.Conn) {
	r.next++
	id := fmt.Sprintf("booking-%d-%d", r.number, r.next)
	began := time.Now()
	_, err := c.Exec(ctx, "INSERT INTO bookings (id, session, number) VALUES ($1, $2, $3)", id, r.number, r.next)
	o := classify(err)
	r.load.record.noteError(err)
	r.load.record.note(id, o, began)
	if o == outcomeAcknowledged {
		r.saved = r.next
	}
}

// transfer saves two rows in one transaction.
func (r *roamer) transfer(ctx context.Context, c *pgx.Conn) {
	r.next++
	id := fmt.Sprintf("transfer-%d-%d", r.number, r.next)
	began := time.Now()
	err := r.runTransfer(ctx, c, id)
	o := classify(err)
	r.load.record.noteError(err)
	r.load.record.note(id, o, began)
}

func (r *roamer) runTransfer(ctx context.Context, c *pgx.Conn, id string) error {
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
	r.load.record.check(promiseWhole, parts == 2, func() string {
		return fmt.Sprintf("%s saw %d of its 2 parts", id, parts)
	})
	return tx.Commit(ctx)
}

// readOwn reads the session's last booking back. A nonce shows that the
// answer is the session's own.
func (r *roamer) readOwn(ctx context.Context, c *pgx.Conn, tag string) {
	nonce := fmt.Sprintf("n%d-%d", r.number, r.source.Uint32())
	var got string
	var number int64
	err := c.QueryRow(ctx, "SELECT $1 AS nonce, coalesce(max(number), 0) AS number FROM bookings WHERE session = $2"+tag, nonce, r.number).
		Scan(&got, asInteger{&number})
	o := classify(err)
	r.load.record.noteError(err)
	r.load.record.noteRead(o)
	if o != outcomeAcknowledged {
		return
	}
	r.load.record.check(promiseOwnAnswer, got == nonce, func() string { return "asked with " + nonce + ", answered " + got })
	r.load.record.check(promiseOwnWrites, number >= r.saved, func() string {
		return fmt.Sprintf("session %d (style %d) saved %d and read %d%s", r.number, r.style, r.saved, number, tag)
	})
}

// pullStock reads the stock count within its stated age.
func (r *roamer) pullStock(ctx context.Context, c *pgx.Conn) {
	began := time.Now()
	least := r.load.record.leastStock(began, stockAge)
	var pieces int64
	err := c.QueryRow(ctx, "SELECT pieces FROM stock WHERE id = 1 /*maxAge='"+stockAge.String()+"'*/").Scan(&pieces)
	o := classify(err)
	r.load.record.noteError(err)
	r.load.record.noteRead(o)
	if o != outcomeAcknowledged {
		return
	}
	r.load.record.check(promiseAge, pieces >= least, func() string {
		return fmt.Sprintf("stock read as %d, at least %d was acknowledged more than %s before", pieces, least, stockAge)
	})
}
