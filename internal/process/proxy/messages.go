// Package proxy speaks with the other proxies: opinions and announcements
// of failovers, cancel requests, membership and accepted declarations.
package proxy

import (
	"slices"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Peer is another proxy.
type Peer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the IP number and port for messages between proxies.
	Address string `json:"address"`
	// Callers is where callers connect.
	Callers string `json:"callers,omitempty"`
	// Leaving is set once the proxy takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// ContainsPeer reports whether a proxy of a name is among some.
func ContainsPeer(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
}

// The methods of the protocol between proxies.
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
)

// OpinionMessage is a watcher's view of a group's primary.
type OpinionMessage struct {
	Group   string `json:"group"`
	Watcher string `json:"watcher"`
	Zone    string `json:"zone"`
	Term    uint64 `json:"term"`
	Suspect bool   `json:"suspect"`
}

// AnnounceMessage tells of a new primary.
type AnnounceMessage struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
}

// CancelMessage passes a cancel request on to the proxy that runs the
// statement.
type CancelMessage struct {
	PID    uint32 `json:"pid"`
	Secret []byte `json:"secret"`
}

// PauseMessage asks a proxy to start no writes in a group for a time. The
// answer comes once no write runs there.
type PauseMessage struct {
	Group string         `json:"group"`
	For   clock.Duration `json:"for"`
	// Resume lifts the pause instead.
	Resume bool `json:"resume,omitempty"`
}

// PauseAnswer tells whether all writes of the group have ended.
type PauseAnswer struct {
	Quiet   bool `json:"quiet"`
	Running int  `json:"running"`
}

// TellMessage carries the version that a proxy has in force.
type TellMessage struct {
	From     string `json:"from"`
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	ChangeID string `json:"changeId"`
}

// FetchMessage asks for the content that a hash names, by someone who has
// that of another.
type FetchMessage struct {
	Hash string `json:"hash"`
	Have string `json:"have,omitempty"`
}

// FetchAnswer is the content whole, or what differs from the one that the
// asker has. Both are empty if the proxy has neither.
type FetchAnswer struct {
	Content []byte `json:"content,omitempty"`
	Patch   *Patch `json:"patch,omitempty"`
}

// MembersMessage asks for the rows of the table's parts that differ.
type MembersMessage struct {
	Buckets []uint64 `json:"buckets"`
}

// MembersAnswer holds the rows asked for.
type MembersAnswer struct {
	Members []Member `json:"members"`
}

// StatusAnswer is what a proxy says of itself.
type StatusAnswer struct {
	Name     string        `json:"name"`
	Zone     string        `json:"zone"`
	Version  uint64        `json:"version"`
	Hash     string        `json:"hash"`
	Refused  uint64        `json:"refusedVersion,omitempty"`
	Leaving  bool          `json:"leaving,omitempty"`
	Sessions int           `json:"sessions"`
	Groups   []GroupStatus `json:"groups"`
	Members  []Member      `json:"members"`
}

// GroupStatus is what a proxy knows of a database group.
type GroupStatus struct {
	Name     string `json:"name"`
	Primary  string `json:"primary"`
	Term     uint64 `json:"term"`
	Writable bool   `json:"writable"`
	Watching bool   `json:"watching"`
	Phase    string `json:"phase,omitempty"`
}

// PromoteMessage asks a proxy to change a group's primary.
type PromoteMessage struct {
	Group string `json:"group"`
	// Database is the new primary, "" for the best replica.
	Database string `json:"database,omitempty"`
	// Force does not wait for writes that run.
	Force bool `json:"force,omitempty"`
	// AcceptLoss promotes without a majority too.
	AcceptLoss bool `json:"acceptLoss,omitempty"`
}

// PromoteAnswer tells what was done.
type PromoteAnswer struct {
	Term      uint64   `json:"term"`
	Primary   string   `json:"primary"`
	Reached   string   `json:"reached"`
	Unreached []string `json:"unreached,omitempty"`
}
