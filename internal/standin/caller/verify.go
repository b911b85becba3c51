package caller

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// intScanner scans an integer from a column that the server describes as text.
type intScanner struct{ target *int64 }

// Scan implements sql.Scanner.
func (a intScanner) Scan(v any) error {
	n, err := strconv.ParseInt(fmt.Sprint(v), 10, 64)
	*a.target = n
	return err
}

// verifyRows checks the recorded outcome of each write against the rows that
// the database group holds.
func (l *Load) verifyRows(ctx context.Context) error {
	c, err := l.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	rowCounts := make(map[string]int)
	for _, table := range []string{"bookings", "transfers"} {
		rows, err := c.Query(ctx, "SELECT id FROM "+table)
		if err != nil {
			return errors.Wrap(err, "query the rows of the load's tables")
		}
		for rows.Next() {
			var id string
			if err := rows.Scan(&id); err != nil {
				return err
			}
			rowCounts[id]++
		}
		if err := rows.Err(); err != nil {
			return errors.Wrap(err, "read the rows of the load's tables")
		}
	}
	for id, o := range l.record.requests {
		l.verifyRequest(id, o, rowCounts[id])
	}
	return nil
}

// verifyRequest checks the number of rows that the write named id left behind.
// A transfer writes two rows, any other write one.
func (l *Load) verifyRequest(id string, o outcome, rows int) {
	expected := 1
	if strings.HasPrefix(id, "transfer") {
		expected = 2
		l.record.check(guaranteeAtomicity, rows == 0 || rows == 2, func() string { return fmt.Sprintf("%s has %d of 2 rows", id, rows) })
	}
	example := func() string { return fmt.Sprintf("%s has %d rows, expected %d", id, rows, expected) }
	switch o {
	case outcomeAcknowledged:
		l.record.check(guaranteeDurability, rows == expected, example)
	case outcomeRefused:
		l.record.check(guaranteeRefusedNotRun, rows == 0, example)
	case outcomeUnknown:
		l.record.check(guaranteeAtMostOnce, rows <= expected, example)
	}
}
