package database

import (
	"context"
	"database/sql"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	// Registers the SQLite driver.
	_ "modernc.org/sqlite"
)

const busyTimeout = 5 * time.Second

// engine stores a database's rows in a SQLite file. State.mu is never locked
// while mu is held.
type engine struct {
	mu     sync.RWMutex
	db     *sql.DB
	folder string
	// generation numbers the SQLite files, since each reset opens a new one.
	generation int
}

func newEngine(folder string) (*engine, error) {
	e := &engine{folder: folder}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the folder for a stand-in database")
	}
	return e, e.reset()
}

// reset switches to a new, empty SQLite file.
func (e *engine) reset() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.db
	e.generation++
	path := filepath.Join(e.folder, "rows"+strconv.Itoa(e.generation)+".sqlite")
	db, err := sql.Open("sqlite", "file:"+path+
		"?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout("+
		strconv.FormatInt(busyTimeout.Milliseconds(), 10)+")")
	if err != nil {
		return errors.Wrap(err, "open the SQLite file of a stand-in database")
	}
	e.db = db
	if old != nil {
		return old.Close()
	}
	return nil
}

func (e *engine) conn(ctx context.Context) (*sql.Conn, error) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.db.Conn(ctx)
}

// apply runs the statements of a log entry in one transaction.
func (e *engine) apply(ctx context.Context, entry Entry) error {
	if len(entry.Statements) == 0 {
		return nil
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	tx, err := e.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	for _, s := range entry.Statements {
		if _, err := tx.ExecContext(ctx, s.SQL, s.Args...); err != nil {
			return errors.Join(err, tx.Rollback())
		}
	}
	return tx.Commit()
}

func (e *engine) close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Join(e.db.Close(), os.RemoveAll(e.folder))
}

// translate replaces $N parameters by SQLite's ?N, escape strings by plain ones,
// and now() by a literal so that replicas that run the statement later get the
// same rows.
func translate(query string, now time.Time) string {
	var b strings.Builder
	var quote byte
	escapes := false
	for i := 0; i < len(query); i++ {
		c := query[i]
		switch {
		case quote != 0:
			switch {
			case c == '\\' && escapes && i+1 < len(query):
				i++
				c = query[i]
			case c == quote:
				quote, escapes = 0, false
			}
		case c == 'E' && strings.HasPrefix(query[i:], "E'") && (i == 0 || !isWordByte(query[i-1])):
			quote, escapes = '\'', true
			i++
			c = quote
		case c == '\'' || c == '"':
			quote = c
		case c == '$' && i+1 < len(query) && query[i+1] >= '0' && query[i+1] <= '9':
			c = '?'
		case (c == 'n' || c == 'N') && len(query)-i >= 5 && strings.EqualFold(query[i:i+5], "now()"):
			b.WriteString("'" + now.UTC().Format("2006-01-02 15:04:05.000") + "'")
			i += 4
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

// isWordByte reports whether c can be part of an identifier.
func isWordByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// splitStatements splits a simple query at the semicolons outside of quotes
// and block comments.
func splitStatements(query string) []string {
	var parts []string
	var quote byte
	start := 0
	for i := 0; i < len(query); i++ {
		c := query[i]
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"':
			quote = c
		case c == '/' && strings.HasPrefix(query[i:], "/*"):
			if end := strings.Index(query[i:], "*/"); end > 0 {
				i += end + 1
			}
		case c == ';':
			parts = appendNonEmpty(parts, query[start:i])
			start = i + 1
		}
	}
	return appendNonEmpty(parts, query[start:])
}

func appendNonEmpty(parts []string, s string) []string {
	if s = strings.TrimSpace(stripComments(s)); s != "" {
		return append(parts, s)
	}
	return parts
}

// stripComments removes leading and trailing block comments.
func stripComments(s string) string {
	s = strings.TrimSpace(s)
	for strings.HasPrefix(s, "/*") {
		end := strings.Index(s, "*/")
		if end < 0 {
			return s
		}
		s = strings.TrimSpace(s[end+2:])
	}
	for strings.HasSuffix(s, "*/") {
		begin := strings.LastIndex(s, "/*")
		if begin < 0 {
			return s
		}
		s = strings.TrimSpace(s[:begin])
	}
	return s
}
