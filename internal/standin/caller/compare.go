package caller

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// asInteger scans a number that the database describes as text.
type asInteger struct{ target *int64 }

// Scan implements sql.Scanner.
func (a asInteger) Scan(v any) error {
	n, err := strconv.ParseInt(fmt.Sprint(v), 10, 64)
	*a.target = n
	return err
}

// compare checks the record against the rows that the group holds.
func (l *Load) compare(ctx context.Context) error {
	c, err := l.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	held := make(map[string]int)
	for _, table := range []string{"bookings", "transfers"} {
		rows, err := c.Query(ctx, "SELECT id FROM "+table)
		if err != nil {
			return errors.Wrap(err, "read the rows back")
		}
		for rows.Next() {
			var id string
			if err := rows.Scan(&id); err != nil {
				return err
			}
			held[id]++
		}
		if err := rows.Err(); err != nil {
			return errors.Wrap(err, "read the rows back")
		}
	}
	for id, o := range l.record.requests {
		l.compareRequest(id, o, held[id])
	}
	return nil
}

func (l *Load) compareRequest(id string, o outcome, rows int) {
	expected := 1
	if strings.HasPrefix(id, "transfer") {
		expected = 2
		l.record.check(promiseWhole, rows == 0 || rows == 2, func() string { return fmt.Sprintf("%s has %d of 2 rows", id, rows) })
	}
	example := func() string { return fmt.Sprintf("%s has %d rows, expected %d", id, rows, expected) }
	switch o {
	case outcomeAcknowledged:
		l.record.check(promiseKept, rows == expected, example)
	case outcomeRefused:
		l.record.check(promiseRefused, rows == 0, example)
	case outcomeUnknown:
		l.record.check(promiseOnce, rows <= expected, example)
	}
}
