// Package proxy implements the protocol between proxies: membership, the choice
// of each group's watchers, and the messages for failover, cancel requests,
// status and the distribution of accepted declarations.
package proxy

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/internal/process/patch"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Peer is a proxy as others see it.
type Peer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the IP address and port for messages between proxies.
	Address string `json:"address"`
	// Callers is the address that callers connect to.
	Callers string `json:"callers,omitempty"`
	// Capacity is the processor time that the instance has per second, in cores.
	// Zero means unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Leaving is set once the proxy accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// ContainsPeer reports whether peers contains a proxy with the given name.
func ContainsPeer(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
}

// The methods of the protocol between proxies. The values are sent on the wire.
const (
	MethodOpinion  = "opinion"
	MethodAnnounce = "announce"
	MethodCancel   = "cancel"
	MethodTell     = "tell"
	MethodFetch    = "fetch"
	MethodMembers  = "members"
	MethodPause    = "pause"
	MethodPromote  = "promote"
	MethodStatus   = "status"
	// MethodRun runs a caller's request at a proxy whose build has no frames.
	MethodRun = "run"
)

// OpinionMessage is a watcher's view of a group's primary: whether it suspects
// that the primary of the term has failed.
type OpinionMessage struct {
	Group   string `json:"group"`
	Watcher string `json:"watcher"`
	Zone    string `json:"zone"`
	Term    uint64 `json:"term"`
	Suspect bool   `json:"suspect"`
}

// AnnounceMessage announces the new primary of a group.
type AnnounceMessage struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

// CancelMessage forwards a cancel request to the proxy that runs the statement.
type CancelMessage struct {
	PID    uint32 `json:"pid"`
	Secret []byte `json:"secret"`
}

// PauseMessage asks a proxy to start no writes in a group for a limited time.
// The response is sent once no write is running there.
type PauseMessage struct {
	Group string         `json:"group"`
	For   clock.Duration `json:"for"`
	// Resume ends the pause instead of starting one.
	Resume bool `json:"resume,omitempty"`
}

// PauseAnswer is the response to a PauseMessage.
type PauseAnswer struct {
	// Quiet reports that no write of the group is running. It is also set in the
	// response to a message with Resume.
	Quiet bool `json:"quiet"`
	// Running is the number of writes that are still running.
	Running int `json:"running"`
}

// TellMessage announces the version of the declarations that is active on a
// proxy. The response is a TellMessage with the receiver's version.
type TellMessage struct {
	From     string `json:"from"`
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	ChangeID string `json:"changeId"`
}

// FetchMessage requests the declarations with the hash Hash. Have is the hash of
// declarations that the requester already has, so that a patch can be returned.
type FetchMessage struct {
	Hash string `json:"hash"`
	Have string `json:"have,omitempty"`
}

// FetchAnswer holds either the whole declarations or a patch against those that
// the requester has. Both are empty if the proxy does not have the requested
// declarations.
type FetchAnswer struct {
	Content []byte       `json:"content,omitempty"`
	Patch   *patch.Patch `json:"patch,omitempty"`
}

// MembersMessage requests the rows of all buckets whose digests differ from
// Buckets.
type MembersMessage struct {
	Buckets []uint64 `json:"buckets"`
}

// MembersAnswer holds the requested rows.
type MembersAnswer struct {
	Members []Member `json:"members"`
}

// StatusAnswer is the status of a proxy.
type StatusAnswer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Version and Hash identify the active declarations.
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	// Refused is the last version of the declarations that the proxy could not
	// use, 0 if there is none.
	Refused uint64 `json:"refusedVersion,omitempty"`
	// TableVersion is the version in the table if that was restored from an older
	// copy and is not as new as the active one, 0 otherwise.
	TableVersion uint64 `json:"tableVersion,omitempty"`

	Leaving  bool          `json:"leaving,omitempty"`
	Sessions int           `json:"sessions"`
	Groups   []GroupStatus `json:"groups"`
	Members  []Member      `json:"members"`
}

// GroupStatus is the status of a database group as one proxy sees it.
type GroupStatus struct {
	Name     string `json:"name"`
	Primary  string `json:"primary"`
	Term     uint64 `json:"term"`
	Writable bool   `json:"writable"`
	// Watching is set if the proxy is a watcher of the group, and only then Phase
	// is the phase of its failure detection and failover.
	Watching bool   `json:"watching"`
	Phase    string `json:"phase,omitempty"`
}

// PromoteMessage asks a proxy to change a group's primary.
type PromoteMessage struct {
	Group string `json:"group"`
	// Database is the new primary. If it is empty, the best replica is chosen.
	Database string `json:"database,omitempty"`
	// Force skips waiting for running writes.
	Force bool `json:"force,omitempty"`
	// AcceptLoss allows a promotion without a majority, which can lose commits.
	AcceptLoss bool `json:"acceptLoss,omitempty"`
}

// PromoteAnswer reports the outcome of a promotion. Reached is the log position
// of the new primary at its promotion, and Unreached names the databases that
// did not accept the fence for Term.
type PromoteAnswer struct {
	Term      uint64   `json:"term"`
	Primary   string   `json:"primary"`
	Reached   string   `json:"reached"`
	Unreached []string `json:"unreached,omitempty"`
}
