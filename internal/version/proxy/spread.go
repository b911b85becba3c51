// Package proxy implements the gossip protocol that distributes accepted versions
// of the declarations: a few proxies poll the platform's table, and the others
// learn of new versions from their peers. A proxy never returns to a lower
// version.
package proxy

import (
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Head identifies an accepted version.
type Head struct {
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	ChangeID string `json:"changeId"`
}

// Settings are the parameters of the protocol.
type Settings struct {
	// PollInterval is the time between two reads of the head by a polling
	// proxy.
	PollInterval clock.Duration
	// GossipInterval is the time between two exchanges with peers.
	GossipInterval clock.Duration
	// Fanout is the maximum number of random peers for one exchange.
	Fanout int
	// FetchTimeout is how long a peer or the object store may take to return
	// content before the next source is tried.
	FetchTimeout clock.Duration
}

// Action is an action that the code driving a Spread has to carry out.
type Action interface{ action() }

// Poll reads the head from the platform's table.
type Poll struct{}

// SendHead sends the head to a peer, which responds with its own head.
type SendHead struct {
	Peer string
	Head Head
}

// FetchFromPeer requests the content of a version from a peer, or a patch
// against the version with the hash Have.
type FetchFromPeer struct {
	Peer string
	Hash string
	Have string
}

// FetchFromStore reads the content of a version from the object store.
type FetchFromStore struct{ Hash string }

// Activate makes a version the active one: it serves all requests that begin from
// now on.
type Activate struct {
	Head    Head
	Content []byte
}

func (Poll) action()           {}
func (SendHead) action()       {}
func (FetchFromPeer) action()  {}
func (FetchFromStore) action() {}
func (Activate) action()       {}

// Spread is the protocol state of one proxy. It performs no I/O and is not safe
// for concurrent use. Methods that take dst append the resulting actions to it.
type Spread struct {
	settings Settings
	rand     *rand.Rand
	peers    []string
	poller   bool

	// active is the version in use, and latest the highest known version.
	active Head
	latest Head
	// refused is the last version whose content this proxy could not use.
	refused Head
	// behind is the head in the table if that is older than the active version, or
	// another one of the same number, zero otherwise. The table was restored from an
	// older copy then.
	behind Head
	// source is the peer that sent latest, "" if it was read from the table.
	source    string
	polledAt  clock.Time
	sentAt    clock.Time
	fetchedAt clock.Time
	// attempts is how often the content of latest was requested.
	attempts int
	started  bool
}

// NewSpread returns the state of a proxy that has no version yet. It uses r to
// choose peers.
func NewSpread(s Settings, r *rand.Rand) *Spread { return &Spread{settings: s, rand: r} }

// SetSettings replaces the settings.
func (s *Spread) SetSettings(settings Settings) { s.settings = settings }

// Settings returns the current settings.
func (s *Spread) Settings() Settings { return s.settings }

// SetPeers replaces the live peers and sets whether this proxy is one of the few
// that poll.
func (s *Spread) SetPeers(peers []string, poller bool) {
	s.peers = peers
	s.poller = poller
}

// Active returns the version in use.
func (s *Spread) Active() Head { return s.active }

// Latest returns the highest known version, which may not be active yet.
func (s *Spread) Latest() Head { return s.latest }

// Refused returns the last version whose content could not be used.
func (s *Spread) Refused() Head { return s.refused }

// Behind returns the head that the table was last seen with if it is not as new as the
// active version, and the zero Head otherwise.
func (s *Spread) Behind() Head { return s.behind }

// Tick starts polls, exchanges and repeated fetches that are due.
func (s *Spread) Tick(now clock.Time, dst []Action) []Action {
	// A proxy without a version polls too, because its peers may not have one
	// yet either.
	shouldPoll := s.poller || s.active.Version == 0
	if shouldPoll && (!s.started || now.Sub(s.polledAt) >= s.settings.PollInterval) {
		s.polledAt = now
		dst = append(dst, Poll{})
	}
	if !s.started || now.Sub(s.sentAt) >= s.settings.GossipInterval {
		s.sentAt = now
		dst = s.sendHead(dst)
	}
	s.started = true
	if s.latest.Version > s.active.Version && s.latest != s.refused && now.Sub(s.fetchedAt) >= s.settings.FetchTimeout {
		dst = s.fetch(now, dst)
	}
	return dst
}

// sendHead sends the active version to random peers.
func (s *Spread) sendHead(dst []Action) []Action {
	for range min(s.settings.Fanout, len(s.peers)) {
		dst = append(dst, SendHead{Peer: s.peers[s.rand.IntN(len(s.peers))], Head: s.active})
	}
	return dst
}

// HandlePolled processes the head read from the platform's table.
func (s *Spread) HandlePolled(now clock.Time, h Head, dst []Action) []Action {
	s.behind = Head{}
	if h.Version < s.active.Version || h.Version == s.active.Version && h != s.active {
		s.behind = h
	}
	return s.observe(now, h, "", dst)
}

// HandlePeerHead processes the head received from a peer.
func (s *Spread) HandlePeerHead(now clock.Time, from string, h Head, dst []Action) []Action {
	return s.observe(now, h, from, dst)
}

// observe fetches the content of a head that is higher than the latest one.
func (s *Spread) observe(now clock.Time, h Head, from string, dst []Action) []Action {
	if h.Version <= s.latest.Version {
		return dst
	}
	s.latest, s.source, s.attempts = h, from, 0
	return s.fetch(now, dst)
}

// fetch requests the content of the latest version. The first request goes to the
// peer that sent the head, if any, and later ones alternate between random peers
// and the object store.
func (s *Spread) fetch(now clock.Time, dst []Action) []Action {
	s.fetchedAt = now
	s.attempts++
	if s.source != "" && s.attempts == 1 {
		return append(dst, FetchFromPeer{Peer: s.source, Hash: s.latest.Hash, Have: s.active.Hash})
	}
	if len(s.peers) > 0 && s.attempts%2 == 0 {
		return append(dst, FetchFromPeer{Peer: s.peers[s.rand.IntN(len(s.peers))], Hash: s.latest.Hash, Have: s.active.Hash})
	}
	return append(dst, FetchFromStore{Hash: s.latest.Hash})
}

// HandleContent processes fetched content, which must match hash. Usable is
// whether the content can be activated.
func (s *Spread) HandleContent(hash string, content []byte, usable bool, dst []Action) []Action {
	if hash != s.latest.Hash || s.latest.Version <= s.active.Version {
		return dst
	}
	if !usable {
		s.refused = s.latest
		return dst
	}
	s.active = s.latest
	dst = append(dst, Activate{Head: s.active, Content: content})
	// Sending the new head at once lets it reach all proxies in few rounds.
	return s.sendHead(dst)
}
