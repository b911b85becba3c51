package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
)

const (
	benchRows = 1000
	// maxLatencyMicros is the highest value that the histogram records, in
	// microseconds.
	maxLatencyMicros = 60_000_000
	benchTimeout     = 30 * time.Second
)

// BenchSettings configures a benchmark of one kind of statement.
type BenchSettings struct {
	Address  string
	Group    string
	Sessions int
	Duration time.Duration
	// Prepared selects the extended protocol with prepared statements instead
	// of the simple protocol.
	Prepared bool
	// Writes makes each statement update a row instead of reading one.
	Writes bool
	// Tag is an SQL comment appended to each statement, such as
	// /*maxAge='2s'*/.
	Tag string
}

// BenchResult holds the throughput, latencies and errors of a benchmark. Only
// statements that succeeded count toward Statements and the latencies.
type BenchResult struct {
	Statements int64         `json:"statements"`
	PerSecond  float64       `json:"perSecond"`
	P50        time.Duration `json:"p50"`
	P99        time.Duration `json:"p99"`
	Worst      time.Duration `json:"worst"`
	Errors     int64         `json:"errors"`
	FirstError string        `json:"firstError,omitempty"`
}

// CreateBenchRows creates the table and rows that Bench uses. Rows that exist
// already are kept.
func CreateBenchRows(ctx context.Context, address, group string) error {
	c, err := pgx.Connect(ctx, connString(address, group))
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS bench (id INTEGER PRIMARY KEY, v TEXT)"); err != nil {
		return errors.Wrap(err, "create the bench table")
	}
	tx, err := c.Begin(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = tx.Rollback(ctx) }()
	for i := range benchRows {
		if _, err := tx.Exec(ctx, fmt.Sprintf("INSERT INTO bench (id, v) VALUES (%d, 'value %d') ON CONFLICT (id) DO NOTHING", i, i)); err != nil {
			return errors.Wrap(err, "insert the bench rows")
		}
	}
	return tx.Commit(ctx)
}

func connString(address, group string) string {
	return "postgres://bench@" + address + "/" + group + "?sslmode=disable"
}

// Bench runs one kind of statement on s.Sessions concurrent connections for
// s.Duration. It returns an error only if a connection cannot be opened; failed
// statements are counted in the result.
func Bench(ctx context.Context, s BenchSettings) (BenchResult, error) {
	conns := make([]*pgx.Conn, s.Sessions)
	for i := range conns {
		c, err := pgx.Connect(ctx, connString(s.Address, s.Group))
		if err != nil {
			closeAll(conns)
			return BenchResult{}, errors.Wrapf(err, "open session %d", i+1)
		}
		conns[i] = c
	}
	defer closeAll(conns)
	deadline := time.Now().Add(s.Duration)
	results := make([]sessionResult, s.Sessions)
	var wait sync.WaitGroup
	for i, c := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = s.runSession(ctx, c, i, deadline)
		}()
	}
	began := time.Now()
	wait.Wait()
	return mergeResults(results, time.Since(began)), nil
}

func closeAll(conns []*pgx.Conn) {
	for _, c := range conns {
		closeConn(c)
	}
}

// sessionResult is what one session contributes to a BenchResult.
type sessionResult struct {
	latencies *hdrhistogram.Histogram
	errors    int64
	firstErr  error
}

func (s BenchSettings) runSession(ctx context.Context, c *pgx.Conn, session int, deadline time.Time) sessionResult {
	result := sessionResult{latencies: hdrhistogram.New(1, maxLatencyMicros, 3)}
	for n := session; time.Now().Before(deadline) && ctx.Err() == nil; n += 7 {
		began := time.Now()
		if err := s.runStatement(ctx, c, n%benchRows); err != nil {
			result.errors++
			if result.firstErr == nil {
				result.firstErr = err
			}
			if c.IsClosed() {
				return result
			}
			continue
		}
		_ = result.latencies.RecordValue(time.Since(began).Microseconds())
	}
	return result
}

func (s BenchSettings) runStatement(ctx context.Context, c *pgx.Conn, id int) error {
	ctx, cancel := context.WithTimeout(ctx, benchTimeout)
	defer cancel()
	switch {
	case s.Writes && s.Prepared:
		_, err := c.Exec(ctx, "UPDATE bench SET v = 'changed' WHERE id = $1"+s.Tag, id)
		return err
	case s.Writes:
		_, err := c.Exec(ctx, fmt.Sprintf("UPDATE bench SET v = 'changed' WHERE id = %d%s", id, s.Tag))
		return err
	}
	var v string
	if s.Prepared {
		return c.QueryRow(ctx, "SELECT v FROM bench WHERE id = $1"+s.Tag, id).Scan(&v)
	}
	return c.QueryRow(ctx, fmt.Sprintf("SELECT v FROM bench WHERE id = %d%s", id, s.Tag), pgx.QueryExecModeSimpleProtocol).Scan(&v)
}

func mergeResults(results []sessionResult, took time.Duration) BenchResult {
	all := hdrhistogram.New(1, maxLatencyMicros, 3)
	var r BenchResult
	for _, p := range results {
		all.Merge(p.latencies)
		r.Errors += p.errors
		if p.firstErr != nil && r.FirstError == "" {
			r.FirstError = p.firstErr.Error()
		}
	}
	r.Statements = all.TotalCount()
	r.PerSecond = float64(r.Statements) / took.Seconds()
	r.P50 = time.Duration(all.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(all.ValueAtQuantile(99)) * time.Microsecond
	r.Worst = time.Duration(all.Max()) * time.Microsecond
	return r
}

// Idle opens sessions that send nothing and holds them until ctx is done. It
// calls opened once all of them are open.
func Idle(ctx context.Context, address, group string, sessions int, opened func()) error {
	conns := make([]*pgx.Conn, sessions)
	defer closeAll(conns)
	for i := range conns {
		c, err := pgx.Connect(ctx, connString(address, group))
		if err != nil {
			return errors.Wrapf(err, "open session %d", i+1)
		}
		conns[i] = c
	}
	opened()
	<-ctx.Done()
	return nil
}
