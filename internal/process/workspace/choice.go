package workspace

import (
	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

// accountantCount is the number of proxies that account for workspaces: enough that one
// of them is a small part of all workspaces, and few enough that the asks of a proxy for
// all its workspaces are five messages.
const accountantCount = 5

// ChooseAccountants returns the names of the proxies that account for workspaces. All
// proxies with the same view of the members choose the same ones.
func ChooseAccountants(members []proxy.Peer) []string {
	chosen := proxy.ChoosePeers("accountants", members, accountantCount)
	names := make([]string, len(chosen))
	for i, p := range chosen {
		names[i] = p.Name
	}
	return names
}

// AccountantOf returns which of the accountants accounts for a workspace, or "" if there
// are none.
func AccountantOf(workspace string, accountants []string) string {
	best, top := "", uint64(0)
	for _, name := range accountants {
		if score := xxhash.Sum64String(workspace + "/" + name); best == "" || score > top || score == top && name < best {
			best, top = name, score
		}
	}
	return best
}
