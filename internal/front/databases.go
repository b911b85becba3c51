package front

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// databasesPrefix is the prefix of the rows of the agreement table that hold
	// the databases of a group. While the store is down, the entries of the
	// registry expire, and take seconds to come back after it. A process that
	// starts in these seconds finds the databases in these rows.
	databasesPrefix = "databases/"
	// minDatabasesDelay is how long the databases of a group must be unchanged
	// before they are stored. A random time of up to maxDatabasesDelay is added,
	// so that one home writes them and the others see it.
	minDatabasesDelay = 500 * clock.Millisecond
	maxDatabasesDelay = 2500 * clock.Millisecond
	// minDatabasesInterval is the minimum time between two writes for a group by
	// this process: homes with different views of the registry would otherwise
	// overwrite each other all the time.
	minDatabasesInterval = 10 * clock.Second
)

// storedDatabase is a database as it is stored for processes that start. Its role
// is left out, since it changes often and the database tells it itself.
type storedDatabase struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Slots       int    `json:"slots"`
}

// databasesRecord is what a process knows of the stored databases of one group.
type databasesRecord struct {
	// stored is the value of the row, and pending the value to be stored at due,
	// empty if there is none.
	stored, pending string
	due             clock.Time
	// notBefore is when this process may store the group again.
	notBefore clock.Time
}

// plan returns whether current is to be stored now. It is stored once it has
// differed from the row for some time.
func (r *databasesRecord) plan(now clock.Time, current string) bool {
	switch {
	case current == "" || current == r.stored:
		r.pending = ""
		return false
	case current != r.pending:
		r.pending = current
		r.due = max(now.Add(minDatabasesDelay+clock.Duration(rand.Int64N(int64(maxDatabasesDelay)))), r.notBefore)
		return false
	case now < r.due:
		return false
	}
	// If the write fails, the next one is planned from the start.
	r.pending, r.notBefore = "", now.Add(minDatabasesInterval)
	return true
}

// encodeDatabases returns the databases of a group as they are stored, or an empty
// string while one of them is leaving or its entry is missing.
func encodeDatabases(members []group.Member) string {
	list := make([]storedDatabase, 0, len(members))
	for _, m := range members {
		if m.Leaving || m.LapsedAt != 0 {
			return ""
		}
		list = append(list, storedDatabase{ID: m.ID, Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, Slots: m.Slots})
	}
	value, err := json.Marshal(list)
	if err != nil || len(list) == 0 {
		return ""
	}
	return string(value)
}

// storeDatabases stores the databases of a group if they have changed.
func (f *Front) storeDatabases(g *groupState, now clock.Time) {
	current := encodeDatabases(g.Members())
	f.mu.Lock()
	due := g.databases.plan(now, current)
	f.mu.Unlock()
	if !due {
		return
	}
	go contain.Run(f.log, "write of databases", func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
		defer cancel()
		_, err := f.platform.Store.Put(ctx, agreementTable, map[string][]byte{databasesKey(g.Name): []byte(current)})
		f.log.Info("databases stored for processes that start", zap.String("group", g.Name), logs.Error(err))
	})
}

// forgetDatabases records that a row of the agreement table is gone. If it had the
// databases of a group, they will be stored again.
func (f *Front) forgetDatabases(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if g, ok := f.groups[groupOfKey(strings.TrimPrefix(key, databasesPrefix))]; ok {
		g.databases.stored = ""
	}
}

// applyDatabases records a row with the databases of a group. If starting is set,
// databases that the registry does not list are used for as long as those whose
// entries have just expired.
func (f *Front) applyDatabases(row store.Row, starting bool) {
	name := groupOfKey(strings.TrimPrefix(row.Key, databasesPrefix))
	f.mu.Lock()
	g := f.groupLocked(name)
	g.databases.stored = string(row.Value)
	f.mu.Unlock()
	if !starting {
		return
	}
	var list []storedDatabase
	if err := json.Unmarshal(row.Value, &list); err != nil {
		f.log.Warn("invalid databases row", zap.String("key", row.Key), logs.Error(err))
		return
	}
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	for _, d := range list {
		e := group.Entry{ID: d.ID, Group: name, Address: d.Address, Zone: d.Zone, Incarnation: d.Incarnation, Slots: d.Slots}
		if err := e.Check(latestIncarnation()); err != nil {
			f.log.Warn("invalid stored database", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		f.mu.Lock()
		_, known := f.groupOf[d.ID]
		if !known {
			f.groupOf[d.ID] = name
		}
		f.mu.Unlock()
		if !known {
			g.Update(e)
			f.markLapsed(d.ID)
		}
	}
}
