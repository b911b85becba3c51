package core

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

func TestOlderMembersDoNotReplaceNewer(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	p := d.Proxies[0]
	for i := range 3000 {
		var callers string
		for k := range 2 {
			incarnation := uint64(2*i + k + 1)
			callers = strconv.FormatUint(incarnation, 10)
			p.members.advance(func(dst []proxy.MembershipAction) []proxy.MembershipAction {
				return p.members.membership.HandleTable(p.clock.Now(), []proxy.Member{{
					Name: "other", Zone: "zone-b", Address: "127.0.0.1:9", Incarnation: incarnation, Callers: callers,
				}}, dst)
			})
		}
		require.Eventually(t, func() bool {
			p.groups.mu.RLock()
			defer p.groups.mu.RUnlock()
			return slices.ContainsFunc(p.groups.live, func(live proxy.Peer) bool { return live.Callers == callers })
		}, time.Second, 50*time.Microsecond, "round %d", i)
	}
}
