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
	stockAge       = 2 * time.Second
	// unknownCode is the SQLSTATE of a request whose answer was lost.
	unknownCode = "08007"
)

// Settings describe a load.
type Settings struct {
	// Addresses are the proxies between which sessions roam.
	Addresses []string
	Group     string
	Sessions  int
	Seed      uint64
	// Pause is the time between two requests of a session.
	Pause time.Duration
}

// Load is a running load.
type Load struct {
	settings Settings
	record   *record
	done     chan struct{}
	wait     sync.WaitGroup

	mu   sync.Mutex
	ends map[time.Time]time.Time
}

// Report is the outcome of a load.
type Report struct {
	Counts   Counts          `json:"counts"`
	FailoverGaps     []time.Duration `json:"failoverGaps"`
	Guarantees []Guarantee       `json:"promises"`
	// Errors are the first few errors that callers were given.
	Errors []string `json:"errors,omitempty"`
}

// Start creates the tables and starts the load's sessions.
func Start(ctx context.Context, s Settings) (*Load, error) {
	l := &Load{settings: s, record: newRecord(), done: make(chan struct{}), ends: make(map[time.Time]time.Time)}
	if err := l.createTables(ctx); err != nil {
		return nil, err
	}
	l.run(l.keepStock)
	l.run(l.probeWrites)
	for i := range s.Sessions {
		source := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		l.run(func() { l.session(i, source) })
	}
	return l, nil
}

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
	for _, table := range []string{
		"CREATE TABLE bookings (id TEXT, session INTEGER, number INTEGER)",
		"CREATE TABLE transfers (id TEXT, part INTEGER)",
		"CREATE TABLE stock (id INTEGER PRIMARY KEY, pieces INTEGER)",
		"INSERT INTO stock (id, pieces) VALUES (1, 0)",
	} {
		if _, err := c.Exec(ctx, table); err != nil {
			return errors.Wrap(err, "create the load's tables")
		}
	}
	return nil
}

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

func (l *Load) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}

// classify tells what a caller knows of a request after its answer.
func classify(err error) outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return outcomeAcknowledged
	case !errors.As(err, &e):
		return outcomeUnknown
	case e.Code == unknownCode, strings.Contains(e.Detail, "outcome=unknown"):
		return outcomeUnknown
	default:
		return outcomeRefused
	}
}

// keepStock is the only writer of the stock count.
func (l *Load) keepStock() {
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

// probeWrites starts a write every few milliseconds, so that the time until
// one is accepted is measured finely.
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
	l.record.note(id, o, began)
	if o == outcomeAcknowledged {
		l.mu.Lock()
		l.ends[began] = time.Now()
		l.mu.Unlock()
	}
}

// NoteFault records that the primary is lost now.
func (l *Load) NoteFault() { l.record.noteFault(time.Now()) }

// Statements returns how many statements have been answered so far.
func (l *Load) Statements() int {
	l.record.mu.Lock()
	defer l.record.mu.Unlock()
	return l.record.counts.Statements
}

// Stop ends the load, compares its record with what the databases hold and
// reports.
func (l *Load) Stop(ctx context.Context) (Report, error) {
	close(l.done)
	l.wait.Wait()
	if err := l.compare(ctx); err != nil {
		return Report{}, err
	}
	return Report{
		Counts: l.record.counts, FailoverGaps: l.record.gaps(l.ends), Guarantees: l.record.promises[:], Errors: l.record.errors,
	}, nil
}
