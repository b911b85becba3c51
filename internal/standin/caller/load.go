package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	requestTimeout = 20 * time.Second
	stockInterval  = 20 * time.Millisecond
	probeInterval  = 5 * time.Millisecond
	stockMaxAge    = 2 * time.Second
	// codeUnknownOutcome is the SQLSTATE of a request that may or may not have
	// run because its answer was lost.
	codeUnknownOutcome = "08007"
)

// Settings configures a load.
type Settings struct {
	// Addresses are the addresses of the proxies. Sessions send each request to
	// a random one.
	Addresses []string
	Group     string
	Sessions  int
	Seed      uint64
	// Pause is the time between two requests of a session.
	Pause time.Duration
}

// Load runs concurrent sessions against the proxies and records the outcome of
// each request.
type Load struct {
	settings Settings
	record   *record
	done     chan struct{}
	wait     sync.WaitGroup

	mu sync.Mutex
	// probeEnds maps the start of each acknowledged probe write to its end.
	probeEnds map[time.Time]time.Time
}

// Report holds the results of a load.
type Report struct {
	Counts Counts `json:"counts"`
	// FailoverGaps holds, for each lost primary, the time until a probe write
	// was acknowledged again.
	FailoverGaps []time.Duration `json:"failoverGaps"`
	Guarantees   []Guarantee     `json:"promises"`
	// Errors holds the first errors that requests failed with, at most
	// maxErrors.
	Errors []string `json:"errors,omitempty"`
}

// Start creates the load's tables and starts its sessions, which run until
// Stop. It returns an error if the tables cannot be created, for instance
// because they exist already.
func Start(ctx context.Context, s Settings) (*Load, error) {
	l := &Load{settings: s, record: newRecord(), done: make(chan struct{}), probeEnds: make(map[time.Time]time.Time)}
	if err := l.createTables(ctx); err != nil {
		return nil, err
	}
	l.run(l.writeStock)
	l.run(l.probeWrites)
	for i := range s.Sessions {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		l.run(func() { l.runSession(i, random) })
	}
	return l, nil
}

// run runs f in a goroutine that Stop waits for.
func (l *Load) run(f func()) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		f()
	}()
}

func (l *Load) createTables(ctx context.Context) error {
	c, err := l.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	for _, statement := range []string{
		"CREATE TABLE bookings (id TEXT, session INTEGER, number INTEGER)",
		"CREATE TABLE transfers (id TEXT, part INTEGER)",
		"CREATE TABLE stock (id INTEGER PRIMARY KEY, pieces INTEGER)",
		"INSERT INTO stock (id, pieces) VALUES (1, 0)",
	} {
		if _, err := c.Exec(ctx, statement); err != nil {
			return errors.Wrap(err, "create the load's tables")
		}
	}
	return nil
}

// connect opens a connection to the proxy with the given index, modulo the
// number of proxies. Parameters are appended to the URL's query.
func (l *Load) connect(ctx context.Context, proxy int, parameters string) (*pgx.Conn, error) {
	address := l.settings.Addresses[proxy%len(l.settings.Addresses)]
	return pgx.Connect(ctx, "postgres://shop@"+address+"/"+l.settings.Group+"?sslmode=disable"+parameters)
}

func (l *Load) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// sleep waits for d or until the load is stopped.
func (l *Load) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}

// classify returns the outcome of a request that ended with err. If err is not
// an error response of the server, the outcome is unknown.
func classify(err error) outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return outcomeAcknowledged
	case !errors.As(err, &e):
		return outcomeUnknown
	case e.Code == codeUnknownOutcome, strings.Contains(e.Detail, "outcome=unknown"):
		return outcomeUnknown
	default:
		return outcomeRefused
	}
}

// writeStock writes ascending counts to the stock row until the load is
// stopped. It is the only writer of that row, so the count that a read returns
// shows its age.
func (l *Load) writeStock() {
	ctx := context.Background()
	var c *pgx.Conn
	defer func() { closeConn(c) }()
	for count := int64(1); !l.stopped(); count++ {
		var err error
		if c == nil || c.IsClosed() {
			if c, err = l.connect(ctx, int(count), ""); err != nil {
				l.sleep(stockInterval)
				continue
			}
		}
		_, err = c.Exec(ctx, "UPDATE stock SET pieces = $1 WHERE id = 1", count)
		if classify(err) == outcomeAcknowledged {
			l.record.noteStock(count)
		}
		l.sleep(stockInterval)
	}
}

func closeConn(c *pgx.Conn) {
	if c != nil {
		_ = c.Close(context.Background())
	}
}

// probeWrites starts a write every probeInterval, at most 8 at a time, so that
// the length of a failover is measured to within a few milliseconds.
func (l *Load) probeWrites() {
	var wait sync.WaitGroup
	defer wait.Wait()
	slots := make(chan struct{}, 8)
	for n := 0; !l.stopped(); n++ {
		l.sleep(probeInterval)
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			l.probeWrite(n)
		}()
	}
}

// probeWrite inserts one row over a connection of its own.
func (l *Load) probeWrite(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c, err := l.connect(ctx, n, "")
	if err != nil {
		return
	}
	defer closeConn(c)
	began := time.Now()
	id := fmt.Sprintf("probe-%d", n)
	_, err = c.Exec(ctx, "INSERT INTO bookings (id, session, number) VALUES ('"+id+"', -1, 0)")
	o := classify(err)
	l.record.noteError(err)
	l.record.noteWrite(id, o, began)
	if o == outcomeAcknowledged {
		l.mu.Lock()
		l.probeEnds[began] = time.Now()
		l.mu.Unlock()
	}
}

// NoteFault records that the primary fails now, as the start of a failover gap.
func (l *Load) NoteFault() { l.record.noteFault(time.Now()) }

// Statements returns the number of requests that have ended so far, whether
// they were answered or not. Stock writes are not counted.
func (l *Load) Statements() int {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	return l.record.counts.Statements
}

// Stop ends the load, checks the recorded outcomes against the rows in the
// database and returns the report. It returns an error if the rows cannot be
// read.
func (l *Load) Stop(ctx context.Context) (Report, error) {
	close(l.done)
	l.wait.Wait()
	if err := l.verifyRows(ctx); err != nil {
		return Report{}, err
	}
	return Report{
		Counts: l.record.counts, FailoverGaps: l.record.failoverGaps(l.probeEnds), Guarantees: l.record.guarantees[:], Errors: l.record.errors,
	}, nil
}
