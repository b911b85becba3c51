package workspace

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

// accountantCount is the number of proxies that account for workspaces: enough that one
// of them is a small part of all workspaces, and few enough that the asks of a proxy for
// all its workspaces are five messages.
const accountantCount = 5

// ChooseAccountants returns the names of the proxies that account for workspaces, by
// capacity where the proxies tell theirs. All
// proxies with the same view of the members choose the same ones.
func ChooseAccountants(members []proxy.Peer) []string {
	chosen := proxy.Choose("accountants", members, accountantCount)
	names := make([]string, len(chosen))
	for i, p := range chosen {
		names[i] = p.Name
	}
	return names
}

// RankAccountants returns the accountants in the order in which they account for a
// workspace: the first does, and each other one does while those before it are silent.
func RankAccountants(workspace string, accountants []string) []string {
	score := func(name string) uint64 { return xxhash.Sum64String(workspace + "/" + name) }
	ranked := slices.Clone(accountants)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return ranked
}

// first returns the first name, or "" if there is none.
func first(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}
