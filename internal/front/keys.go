package front

import (
	"strconv"
	"strings"

	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
)

// groupInKey returns a group's name as a part of the key of a row, which a slash ends.
func groupInKey(name string) string { return escapeSlashes.Replace(name) }

// groupOfKey returns the group's name of a part of a key.
func groupOfKey(part string) string { return unescapeSlashes.Replace(part) }

var (
	escapeSlashes   = strings.NewReplacer("%", "%25", "/", "%2F")
	unescapeSlashes = strings.NewReplacer("%25", "%", "%2F", "/")
)

// claimKey returns the key of a group's claim. Each era has a key of its own: a
// claim written in an earlier era, or a write that is done late, would otherwise meet
// its condition again once the store has given the version to another claim.
func claimKey(group string, era uint64) string {
	if era <= store.FirstEra {
		return claimPrefix + groupInKey(group)
	}
	return claimPrefix + groupInKey(group) + "/" + strconv.FormatUint(era, 10)
}

// voteKey returns the key of a proxy's vote on a group.
func voteKey(group, proxy string) string { return votePrefix + groupInKey(group) + "/" + proxy }

// databasesKey returns the key of the row with a group's databases.
func databasesKey(group string) string { return databasesPrefix + groupInKey(group) }
