package database_test

import (
	"testing"

	process "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/request/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// BenchmarkCapacityRoute measures the cost of routing and verifying one read
// with a maximum age.
func BenchmarkCapacityRoute(b *testing.B) {
	g := process.NewGroup(3, process.DurabilityGroup)
	status := process.Status{}
	for i := range 1200 {
		role := process.RoleReplica
		if i%3 == 0 {
			role = process.RolePrimary
		}
		p := position.Position{Term: 1, Offset: uint64(i + 1)}
		status = process.Status{Role: role, Term: 1, Fenced: 1, Received: p, Applied: p}
		g.Observe(process.Report{Database: i % 3, SentSeq: uint64(i + 1), SentAt: clock.Time(i * 5), Status: status}, nil)
	}
	router := database.NewRouter([]string{"a", "b", "c"}, "b", 20)
	read := database.ReadRequirements{Floor: position.Position{Term: 1, Offset: 900}, MaxAge: 2 * clock.Second}
	now := clock.Time(6000)
	b.ReportAllocs()
	var route database.Route
	for range b.N {
		var tries database.Tries
		router.Read(now, read, g, &tries, &route)
		if !database.Verify(now, read, status, g) || route.Database == 0 {
			b.Fatal("the read was not routed to a replica, or its answer did not pass verification")
		}
		router.Succeeded(route.Database)
	}
}
