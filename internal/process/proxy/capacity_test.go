package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// heldBytes calls build and returns its result and the heap memory that the
// result keeps in use, in bytes.
func heldBytes(build func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return held, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func memberTable(n int) []proxy.Member {
	table := make([]proxy.Member, n)
	for i := range table {
		table[i] = proxy.Member{
			Name: fmt.Sprintf("entry-%05d", i), Zone: fmt.Sprintf("region-%d-zone-%d", i%5, i%18),
			Address: fmt.Sprintf("10.%d.%d.%d:16442", i%5, i/250, i%250), Incarnation: 1764800000000 + uint64(i),
		}
	}
	return table
}

// BenchmarkCapacityMembership measures the memory of one proxy's membership and
// the cost of one ping interval: a tick, a received acknowledgment and a received
// ping.
func BenchmarkCapacityMembership(b *testing.B) {
	for _, n := range []int{300, 1200, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := memberTable(n)
			built, bytes := heldBytes(func() any {
				m := proxy.NewMembership(table[0], proxy.DefaultMembershipSettings(), rand.New(rand.NewPCG(1, 1)))
				m.HandleTable(0, table[1:], nil)
				return m
			})
			m := built.(*proxy.Membership)
			// Send datagrams until no updates of HandleTable are queued anymore.
			now := clock.Time(0)
			for range n * 50 {
				m.HandleDatagram(now, proxy.Datagram{Kind: proxy.Ping, From: table[1].Name}, nil)
			}
			var actions []proxy.MembershipAction
			b.ResetTimer()
			for range b.N {
				now = now.Add(clock.Second)
				actions = m.Tick(now, actions[:0])
				for _, a := range actions {
					if send, ok := a.(proxy.Send); ok {
						actions = m.HandleDatagram(now, proxy.Datagram{Kind: proxy.Ack, From: table[2].Name, SeqNo: send.Datagram.SeqNo}, actions[:0])
						break
					}
				}
				actions = m.HandleDatagram(now, proxy.Datagram{Kind: proxy.Ping, From: table[1].Name}, actions[:0])
			}
			b.ReportMetric(bytes, "heldBytes")
			b.ReportMetric(bytes/float64(n), "bytes/member")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkCapacityDatagram measures the encoded size of a datagram by its number
// of updates.
func BenchmarkCapacityDatagram(b *testing.B) {
	table := memberTable(10)
	for _, updates := range []int{0, 3, 6} {
		b.Run(fmt.Sprint(updates), func(b *testing.B) {
			d := proxy.Datagram{Kind: proxy.Ping, From: table[0].Name, SeqNo: 1 << 40, Updates: table[:updates], Digest: 1 << 63}
			var size int
			for range b.N {
				encoded, err := cbor.Marshal(d)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkCapacityAssignments measures the memory of the watcher assignments and
// the cost of one proxy leaving or joining.
func BenchmarkCapacityAssignments(b *testing.B) {
	for _, n := range []int{300, 1200, 4900} {
		groups := n * 6333 / 4900
		b.Run(fmt.Sprintf("%dproxies%dgroups", n, groups), func(b *testing.B) {
			live := make([]proxy.Peer, n)
			for i, m := range memberTable(n) {
				live[i] = proxy.Peer{Name: m.Name, Zone: m.Zone, Address: m.Address}
			}
			names := make([]string, groups)
			for i := range names {
				names[i] = fmt.Sprintf("group%05d", i)
			}
			built, bytes := heldBytes(func() any {
				a := proxy.NewAssignments(3)
				a.SetLive(live)
				a.SetGroups(names)
				return a
			})
			a := built.(*proxy.Assignments)
			b.ResetTimer()
			for i := range b.N {
				if i%2 == 0 {
					a.SetLive(live[1:])
				} else {
					a.SetLive(live)
				}
			}
			b.ReportMetric(bytes, "heldBytes")
			runtime.KeepAlive(a)
		})
	}
}
