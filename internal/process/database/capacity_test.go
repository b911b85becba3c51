package database_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// heldBytes returns the result of build and the heap bytes that it retains.
func heldBytes(build func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return held, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkCapacityReports measures the memory retained per group with a full
// sample history, and the cost of one report.
func BenchmarkCapacityReports(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			built, bytes := heldBytes(func() any {
				groups := make([]*database.Group, n)
				for i := range groups {
					groups[i] = fullGroup()
				}
				return groups
			})
			groups := built.([]*database.Group)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := clock.Time(10_000 + i*5)
				role := database.RoleReplica
				if i%3 == 0 {
					role = database.RolePrimary
				}
				p := position.Position{Term: 1, Offset: uint64(10_000 + i)}
				groups[i%n].Observe(database.Report{Database: i % 3, SentSeq: uint64(10_000 + i), SentAt: at, Status: database.Status{
					Role: role, Term: 1, Fenced: 1, Received: p, Applied: p,
				}}, nil)
			}
			b.ReportMetric(bytes/float64(n), "bytes/group")
			runtime.KeepAlive(groups)
		})
	}
}

func fullGroup() *database.Group {
	g := database.NewGroup(3, database.DurabilityGroup)
	for i := range 1200 {
		p := position.Position{Term: 1, Offset: uint64(i + 1)}
		role := database.RoleReplica
		if i%3 == 0 {
			role = database.RolePrimary
		}
		g.Observe(database.Report{Database: i % 3, SentSeq: uint64(i + 1), SentAt: clock.Time(i * 5), Status: database.Status{
			Role: role, Term: 1, Fenced: 1, Received: p, Applied: p,
		}}, nil)
	}
	return g
}

// BenchmarkCapacityWatch measures the memory retained by the failover state of
// a group, and the cost of one tick of all groups.
func BenchmarkCapacityWatch(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			self := database.Watcher{Name: "self", Zone: "a"}
			watchers := []database.Watcher{self, {Name: "second", Zone: "b"}, {Name: "third", Zone: "c"}}
			built, bytes := heldBytes(func() any {
				failovers := make([]*database.Failover, n)
				for i := range failovers {
					failovers[i] = database.NewFailover(3, self, watchers, database.DefaultFailoverSettings(), rand.New(rand.NewPCG(1, uint64(i))))
				}
				return failovers
			})
			failovers := built.([]*database.Failover)
			actions := make([]database.Action, 0, 16)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := clock.Time(i * 5)
				for _, f := range failovers {
					actions = f.Tick(now, actions[:0])
					for d := range 3 {
						role := database.RoleReplica
						if d == 0 {
							role = database.RolePrimary
						}
						if i%20 == 0 {
							actions = f.HandleReport(now, database.Report{Database: d, Status: database.Status{Role: role, Term: 1, Fenced: 1}}, actions[:0])
						}
					}
				}
			}
			b.ReportMetric(bytes/float64(n), "bytes/group")
			runtime.KeepAlive(failovers)
		})
	}
}

// BenchmarkCapacityWaiters measures the cost of registering and unregistering a
// commit while n others wait.
func BenchmarkCapacityWaiters(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := fullGroup()
			offset := uint64(100_000)
			for range n {
				offset++
				g.RegisterCommit(offset, position.Position{Term: 1, Offset: offset})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				offset++
				g.RegisterCommit(offset, position.Position{Term: 1, Offset: offset})
				g.UnregisterCommit(offset - uint64(n))
			}
		})
	}
}
