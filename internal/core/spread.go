package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
	versionproxy "github.com/oleanderflow/oleanderflow/internal/version/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	fetchTimeout = 2 * clock.Second
	storeTimeout = 5 * time.Second
)

// spread drives how one proxy learns of accepted versions. Its mutex is
// taken before the proxy's.
type spread struct {
	proxy   *Proxy
	history *versionplatform.History

	mu     sync.Mutex
	spread *versionproxy.Spread
	// parser reads one content after another, under reading.
	reading sync.Mutex
	parser  *operator.Parser
	// kept are the last contents in force, the newest last.
	kept []keptContent
	// ready are configurations that were read and may be put in force, by
	// their content's hash.
	ready   map[string]*operator.Configuration
	polling bool
}

// keptContent is a content that was put in force, by its hash.
type keptContent struct {
	hash    string
	content []byte
}

// maxKept is how many contents are kept, so that peers which are a few
// versions behind are sent only what differs.
const maxKept = 4

// find returns a kept content, nil if it is not kept.
func (s *spread) find(hash string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.kept {
		if k.hash == hash && hash != "" {
			return k.content
		}
	}
	return nil
}

func newSpread(p *Proxy, h *versionplatform.History) *spread {
	source := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(proxyNumber(p.instance.Name))))
	s := &spread{
		proxy: p, history: h, parser: operator.NewParser(), ready: make(map[string]*operator.Configuration),
		spread: versionproxy.NewSpread(spreadSettings(p.Configuration()), source),
	}
	p.registry.Add(s)
	return s
}

func spreadSettings(config *operator.Configuration) versionproxy.Settings {
	figures := config.Spread
	return versionproxy.Settings{
		PollInterval: figures.PollInterval, GossipInterval: figures.GossipInterval,
		Fanout: figures.Fanout, FetchTimeout: fetchTimeout,
	}
}

// setLive tells who can be told of versions, and whether this proxy polls.
func (s *spread) setLive(live []proxy.Peer) {
	var names []string
	for _, p := range live {
		if p.Name != s.proxy.instance.Name {
			names = append(names, p.Name)
		}
	}
	pollers := proxy.ChoosePeers("declarations", live, s.proxy.Configuration().Spread.Pollers)
	mine := proxy.ContainsPeer(pollers, s.proxy.instance.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread.SetPeers(names, mine)
}

// Tick implements the registry's row.
func (s *spread) Tick(now clock.Time) {
	s.decide(func(dst []versionproxy.Action) []versionproxy.Action { return s.spread.Tick(now, dst) })
}

func (s *spread) decide(step func([]versionproxy.Action) []versionproxy.Action) {
	s.mu.Lock()
	actions := step(nil)
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case versionproxy.Activate:
			s.putInForce(a)
		case versionproxy.Poll:
			s.submit(s.poll)
		case versionproxy.SendHead:
			s.submit(func() { s.tell(a) })
		case versionproxy.FetchFromPeer:
			s.submit(func() { s.fetchFromPeer(a) })
		case versionproxy.FetchFromStore:
			s.submit(func() { s.fetchFromStore(a) })
		}
	}
}

func (s *spread) submit(task func()) { s.proxy.workers.Submit(task) }

func (s *spread) poll() {
	s.mu.Lock()
	if s.polling {
		s.mu.Unlock()
		return
	}
	s.polling = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	head, err := s.history.Head(ctx)
	s.mu.Lock()
	s.polling = false
	s.mu.Unlock()
	if err != nil {
		s.proxy.log.Debug("head of the declarations not read", zap.Error(err))
		return
	}
	s.decide(func(dst []versionproxy.Action) []versionproxy.Action {
		return s.spread.HandlePolled(s.proxy.clock.Now(), versionproxy.Head(head), dst)
	})
}

func (s *spread) tell(a versionproxy.SendHead) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Std())
	defer cancel()
	message := proxy.TellMessage{From: s.proxy.instance.Name, Version: a.Head.Version, Hash: a.Head.Hash, ChangeID: a.Head.ChangeID}
	var heard proxy.TellMessage
	if err := s.proxy.peers.Call(ctx, a.Peer, proxy.MethodTell, message, &heard); err != nil {
		s.proxy.log.Debug("peer not told of the version", zap.String("peer", a.Peer), zap.Error(err))
		return
	}
	s.hear(heard)
}

func (s *spread) hear(m proxy.TellMessage) {
	head := versionproxy.Head{Version: m.Version, Hash: m.Hash, ChangeID: m.ChangeID}
	s.decide(func(dst []versionproxy.Action) []versionproxy.Action {
		return s.spread.HandlePeerHead(s.proxy.clock.Now(), m.From, head, dst)
	})
}

func (s *spread) fetchFromPeer(a versionproxy.FetchFromPeer) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Std())
	defer cancel()
	var got proxy.FetchAnswer
	err := s.proxy.peers.Call(ctx, a.Peer, proxy.MethodFetch, proxy.FetchMessage{Hash: a.Hash, Have: a.Have}, &got)
	if err == nil && got.Patch != nil {
		got.Content, err = got.Patch.Apply(s.find(a.Have))
	}
	if err != nil || len(got.Content) == 0 {
		s.proxy.log.Debug("declarations not fetched from a peer", zap.String("peer", a.Peer), zap.Error(err))
		return
	}
	s.receive(a.Hash, got.Content)
}

func (s *spread) fetchFromStore(a versionproxy.FetchFromStore) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	content, err := s.history.Content(ctx, a.Hash)
	if err != nil {
		s.proxy.log.Info("declarations not fetched from the store", zap.Error(err))
		return
	}
	s.receive(a.Hash, content)
}

// receive checks content before it is put in force.
func (s *spread) receive(hash string, content []byte) {
	bundle, err := operator.DecodeBundle(content, hash)
	if err != nil {
		s.proxy.log.Warn("declarations refused", zap.Error(err))
		return
	}
	config, err := s.read(bundle)
	if err != nil {
		s.proxy.log.Error("accepted declarations cannot be put in force", zap.String("hash", hash), zap.Error(err))
	}
	s.mu.Lock()
	s.ready[hash] = config
	s.mu.Unlock()
	defer s.dropReady(hash)
	s.decide(func(dst []versionproxy.Action) []versionproxy.Action {
		return s.spread.HandleContent(hash, content, err == nil, dst)
	})
}

// read returns the configuration of the proxy's site.
func (s *spread) read(bundle operator.Bundle) (*operator.Configuration, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	return bundle.ForSite(s.parser, s.proxy.instance.Site)
}

func (s *spread) dropReady(hash string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ready, hash)
}

// putInForce makes a content that receive has read serve all requests.
func (s *spread) putInForce(a versionproxy.Activate) {
	s.mu.Lock()
	config := s.ready[a.Head.Hash]
	stale := config == nil || s.spread.Active().Version > a.Head.Version
	if !stale {
		s.kept = append(s.kept, keptContent{hash: a.Head.Hash, content: a.Content})
		s.kept = s.kept[max(0, len(s.kept)-maxKept):]
	}
	s.mu.Unlock()
	if stale {
		return
	}
	s.proxy.PutInForce(config)
	s.mu.Lock()
	s.spread.SetSettings(spreadSettings(config))
	s.mu.Unlock()
	s.setLive(s.proxy.livePeers())
	s.proxy.log.Info("version in force", zap.Uint64("version", a.Head.Version), zap.String("hash", a.Head.Hash))
}

// current returns the version in force and the one refused.
func (s *spread) current() (force, refused versionproxy.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spread.Active(), s.spread.Refused()
}

// told answers a peer that tells its version.
func (p *Proxy) told(m proxy.TellMessage) proxy.TellMessage {
	if p.spread == nil {
		return proxy.TellMessage{From: p.instance.Name}
	}
	p.spread.hear(m)
	force, _ := p.spread.current()
	return proxy.TellMessage{From: p.instance.Name, Version: force.Version, Hash: force.Hash, ChangeID: force.ChangeID}
}

// fetched answers a peer that asks for content.
func (p *Proxy) fetched(m proxy.FetchMessage) proxy.FetchAnswer {
	if p.spread == nil {
		return proxy.FetchAnswer{}
	}
	content := p.spread.find(m.Hash)
	if content == nil {
		return proxy.FetchAnswer{}
	}
	if have := p.spread.find(m.Have); have != nil {
		patch := proxy.MakePatch(have, content)
		return proxy.FetchAnswer{Patch: &patch}
	}
	return proxy.FetchAnswer{Content: content}
}

func (p *Proxy) differingMembers(m proxy.MembersMessage) proxy.MembersAnswer {
	p.mu.Lock()
	members := p.members
	p.mu.Unlock()
	if members == nil {
		return proxy.MembersAnswer{}
	}
	return proxy.MembersAnswer{Members: members.differing(m.Buckets)}
}
