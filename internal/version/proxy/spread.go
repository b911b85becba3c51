// Package proxy decides how accepted versions of the declarations spread:
// few proxies read the platform's table, the others learn from their peers.
// A proxy never goes back to a lower version.
package proxy

import (
	"math/rand/v2"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Head names an accepted version.
type Head struct {
	Version  uint64 `json:"version"`
	Hash     string `json:"hash"`
	ChangeID string `json:"changeId"`
}

// Settings are the figures of the spread.
type Settings struct {
	// PollInterval is the time between two reads of the head by a poller.
	PollInterval clock.Duration
	// GossipInterval is the time between two exchanges with peers.
	GossipInterval clock.Duration
	// Fanout is how many peers each exchange reaches.
	Fanout int
	// FetchTimeout is how long a peer or the store may take to send content.
	FetchTimeout clock.Duration
}

// Action is what the decision asks its driver to do.
type Action interface{ action() }

// Poll reads the head from the platform's table.
type Poll struct{}

// SendHead sends the head to a peer, whose answer is its own head.
type SendHead struct {
	Peer string
	Head Head
}

// FetchFromPeer asks a peer for the content of a version, or for what differs
// from the version with the hash Have.
type FetchFromPeer struct {
	Peer string
	Hash string
	Have string
}

// FetchFromStore reads the content of a version from the object store.
type FetchFromStore struct{ Hash string }

// Activate makes a version serve all requests that begin from now on.
type Activate struct {
	Head    Head
	Content []byte
}

func (Poll) action()           {}
func (SendHead) action()           {}
func (FetchFromPeer) action()  {}
func (FetchFromStore) action() {}
func (Activate) action()     {}

// Spread decides for one proxy.
type Spread struct {
	settings Settings
	rand     *rand.Rand
	peers    []string
	poller   bool

	// force is the version in force, and wanted the highest heard of.
	force  Head
	wanted Head
	// refused is a version whose content this proxy cannot put in force.
	refused Head
	source  string
	polled  clock.Time
	told    clock.Time
	fetched clock.Time
	tries   int
	started bool
}

// NewSpread returns the decisions of a proxy that has no version yet. The
// random source chooses the peers that are told.
func NewSpread(s Settings, r *rand.Rand) *Spread { return &Spread{settings: s, rand: r} }

// SetSettings replaces the figures.
func (s *Spread) SetSettings(settings Settings) { s.settings = settings }

// Settings returns the figures.
func (s *Spread) Settings() Settings { return s.settings }

// SetPeers replaces the live peers, and says whether this proxy is one of
// the few that poll.
func (s *Spread) SetPeers(peers []string, poller bool) {
	s.peers = peers
	s.poller = poller
}

// Active returns the version in force.
func (s *Spread) Active() Head { return s.force }

// Latest returns the highest version heard of.
func (s *Spread) Latest() Head { return s.wanted }

// Refused returns the version whose content could not be put in force.
func (s *Spread) Refused() Head { return s.refused }

// Tick advances time.
func (s *Spread) Tick(now clock.Time, dst []Action) []Action {
	// A proxy without a version polls too: no peer may have one yet.
	eager := s.poller || s.force.Version == 0
	if eager && (!s.started || now.Sub(s.polled) >= s.settings.PollInterval) {
		s.polled = now
		dst = append(dst, Poll{})
	}
	if !s.started || now.Sub(s.told) >= s.settings.GossipInterval {
		s.told = now
		dst = s.tell(dst)
	}
	s.started = true
	if s.wanted.Version > s.force.Version && s.wanted != s.refused && now.Sub(s.fetched) >= s.settings.FetchTimeout {
		dst = s.fetch(now, dst)
	}
	return dst
}

// tell sends the version in force to peers chosen at random.
func (s *Spread) tell(dst []Action) []Action {
	for range min(s.settings.Fanout, len(s.peers)) {
		dst = append(dst, SendHead{Peer: s.peers[s.rand.IntN(len(s.peers))], Head: s.force})
	}
	return dst
}

// HandlePolled takes in the head that the table holds.
func (s *Spread) HandlePolled(now clock.Time, h Head, dst []Action) []Action {
	return s.hear(now, h, "", dst)
}

// HandlePeerHead takes in a peer's head.
func (s *Spread) HandlePeerHead(now clock.Time, from string, h Head, dst []Action) []Action {
	return s.hear(now, h, from, dst)
}

func (s *Spread) hear(now clock.Time, h Head, from string, dst []Action) []Action {
	if h.Version <= s.wanted.Version {
		return dst
	}
	s.wanted, s.source, s.tries = h, from, 0
	return s.fetch(now, dst)
}

// fetch asks whoever told of the version first, and then the store and
// other peers in turn.
func (s *Spread) fetch(now clock.Time, dst []Action) []Action {
	s.fetched = now
	s.tries++
	if s.source != "" && s.tries == 1 {
		return append(dst, FetchFromPeer{Peer: s.source, Hash: s.wanted.Hash, Have: s.force.Hash})
	}
	if len(s.peers) > 0 && s.tries%2 == 0 {
		return append(dst, FetchFromPeer{Peer: s.peers[s.rand.IntN(len(s.peers))], Hash: s.wanted.Hash, Have: s.force.Hash})
	}
	return append(dst, FetchFromStore{Hash: s.wanted.Hash})
}

// HandleContent takes in the content that hash names. The driver has
// checked the hash and that the content can be put in force.
func (s *Spread) HandleContent(hash string, content []byte, usable bool, dst []Action) []Action {
	if hash != s.wanted.Hash || s.wanted.Version <= s.force.Version {
		return dst
	}
	if !usable {
		s.refused = s.wanted
		return dst
	}
	s.force = s.wanted
	dst = append(dst, Activate{Head: s.force, Content: content})
	// Peers are told at once, which makes the news spread in few rounds.
	return s.tell(dst)
}
