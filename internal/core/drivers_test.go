package core

import (
	"database/sql"
	"testing"

	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/stretchr/testify/require"
)

// Runs the same statements through two independent client libraries, pgx and
// lib/pq.
func TestSuiteThroughBothClientLibraries(t *testing.T) {
	for _, driver := range []string{"pgx", "postgres"} {
		t.Run(driver, func(t *testing.T) {
			d := startDev(t, DevSettings{})
			var dbs []*sql.DB
			for _, p := range d.Proxies {
				// A database/sql pool may open several connections;
				// oleanderflow.session makes them one session.
				db, err := sql.Open(driver, "postgres://shop@"+p.Address()+"/shop1?sslmode=disable&oleanderflow.session=suite")
				require.NoError(t, err)
				defer db.Close()
				dbs = append(dbs, db)
			}
			runDriverSuite(t, dbs)
		})
	}
}

func runDriverSuite(t *testing.T, dbs []*sql.DB) {
	t.Helper()
	_, err := dbs[0].Exec("CREATE TABLE fills (id INTEGER PRIMARY KEY, tyre TEXT)")
	require.NoError(t, err)
	for i := range 12 {
		db := dbs[i%len(dbs)]
		result, err := db.Exec("INSERT INTO fills (id, tyre) VALUES ($1, $2)", i, "front")
		require.NoError(t, err)
		affected, err := result.RowsAffected()
		require.NoError(t, err)
		require.Equal(t, int64(1), affected)
		require.Equal(t, i+1, countRows(t, dbs[(i+1)%len(dbs)], "SELECT count(*) FROM fills"), "another proxy does not see the write")
		require.Equal(t, i+1, countRows(t, dbs[(i+2)%len(dbs)], "SELECT count(*) FROM fills /*maxAge='5s'*/"), "a read with a maximum age does not see the write")
	}
	statement, err := dbs[0].Prepare("SELECT tyre FROM fills WHERE id = $1")
	require.NoError(t, err)
	defer statement.Close()
	for i := range 12 {
		var tyre sql.NullString
		require.NoError(t, statement.QueryRow(i).Scan(&tyre))
		require.Equal(t, "front", tyre.String)
	}
	require.ErrorIs(t, statement.QueryRow(99).Scan(new(string)), sql.ErrNoRows)
	tx, err := dbs[1].Begin()
	require.NoError(t, err)
	_, err = tx.Exec("UPDATE fills SET tyre = NULL WHERE id = $1", 3)
	require.NoError(t, err)
	_, err = tx.Exec("INSERT INTO fills (id) VALUES ($1)", 3)
	require.Error(t, err)
	require.NoError(t, tx.Rollback())
	var tyre sql.NullString
	require.NoError(t, dbs[2].QueryRow("SELECT tyre FROM fills WHERE id = 3").Scan(&tyre))
	require.True(t, tyre.Valid, "the transaction was not rolled back")
	_, err = dbs[0].Exec("SELECT broken broken")
	require.Error(t, err)
	require.Equal(t, 12, countRows(t, dbs[0], "SELECT count(*) FROM fills"), "the session cannot be used after an error")
}

func countRows(t *testing.T, db *sql.DB, query string) int {
	t.Helper()
	var n int
	require.NoError(t, db.QueryRow(query).Scan(&n))
	return n
}
