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
type versionDriver struct {
	proxy   *Proxy
	history *versionplatform.History

	mu     sync.Mutex
	spread *versionproxy.Spread
	// parser reads one content after another, under reading.
	parseMu sync.Mutex
	parser  *operator.Parser
	// kept are the last contents in force, the newest last.
	cached []cachedContent
	// ready are configurations that were read and may be put in force, by
	// their content's hash.
	parsed  map[string]*operator.Configuration
	polling bool
}

// keptContent is a content that was put in force, by its hash.
type cachedContent struct {
	hash    string
	content []byte
}

// maxKept is how many contents are kept, so that peers which are a few
// versions behind are sent only what differs.
const maxCachedContents = 4

// find returns a kept content, nil if it is not kept.
func (s *versionDriver) findContent(hash string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.cached {
		if k.hash == hash && hash != "" {
			return k.content
		}
	}
	return nil
}

func newVersionDriver(p *Proxy, h *versionplatform.History) *versionDriver {
	source := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(pidPrefix(p.instance.Name))))
	s := &versionDriver{
		proxy: p, history: h, parser: operator.NewParser(), parsed: make(map[string]*operator.Configuration),
		spread: versionproxy.NewSpread(versionSettings(p.Configuration()), source),
	}
	p.registry.Add(s)
	return s
}

func versionSettings(config *operator.Configuration) versionproxy.Settings {
	figures := config.Spread
	return versionproxy.Settings{
		PollInterval: figures.PollInterval, GossipInterval: figures.GossipInterval,
		Fanout: figures.Fanout, FetchTimeout: fetchTimeout,
	}
}

// setLive tells who can be told of versions, and whether this proxy polls.
func (s *versionDriver) setLivePeers(live []proxy.Peer) {
	var names []string
	for _, p := range live {
		if p.Name != s.proxy.instance.Name {
			names = append(names, p.Name)
		}
	}
	pollers := proxy.ChooseWatchers("declarations", live, s.proxy.Configuration().Spread.Pollers)
	mine := proxy.Named(pollers, s.proxy.instance.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread.SetPeers(names, mine)
}

// Tick implements the registry's row.
func (s *versionDriver) Tick(now clock.Time) {
	s.advance(func(dst []versionproxy.Action) []versionproxy.Action { return s.spread.Tick(now, dst) })
}

func (s *versionDriver) advance(step func([]versionproxy.Action) []versionproxy.Action) {
	s.mu.Lock()
	actions := step(nil)
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case versionproxy.PutInForce:
			s.applyVersion(a)
		case versionproxy.Poll:
			s.submit(s.poll)
		case versionproxy.Tell:
			s.submit(func() { s.tell(a) })
		case versionproxy.FetchFromPeer:
			s.submit(func() { s.fetchFromPeer(a) })
		case versionproxy.FetchFromStore:
			s.submit(func() { s.fetchFromStore(a) })
		}
	}
}

func (s *versionDriver) submit(task func()) { s.proxy.workers.Submit(task) }

func (s *versionDriver) poll() {
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
	s.advance(func(dst []versionproxy.Action) []versionproxy.Action {
		return s.spread.HandlePolled(s.proxy.clock.Now(), versionproxy.Head(head), dst)
	})
}

func (s *versionDriver) tell(a versionproxy.Tell) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Std())
	defer cancel()
	message := proxy.TellMessage{From: s.proxy.instance.Name, Version: a.Head.Version, Hash: a.Head.Hash, ChangeID: a.Head.ChangeID}
	var heard proxy.TellMessage
	if err := s.proxy.peers.Call(ctx, a.Peer, proxy.MethodTell, message, &heard); err != nil {
		s.proxy.log.Debug("peer not told of the version", zap.String("peer", a.Peer), zap.Error(err))
		return
	}
	s.observeHead(heard)
}

func (s *versionDriver) observeHead(m proxy.TellMessage) {
	head := versionproxy.Head{Version: m.Version, Hash: m.Hash, ChangeID: m.ChangeID}
	s.advance(func(dst []versionproxy.Action) []versionproxy.Action {
		return s.spread.HandleTold(s.proxy.clock.Now(), m.From, head, dst)
	})
}

func (s *versionDriver) fetchFromPeer(a versionproxy.FetchFromPeer) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Std())
	defer cancel()
	var got proxy.FetchAnswer
	err := s.proxy.peers.Call(ctx, a.Peer, proxy.MethodFetch, proxy.FetchMessage{Hash: a.Hash, Have: a.Have}, &got)
	if err == nil && got.Patch != nil {
		got.Content, err = got.Patch.Apply(s.findContent(a.Have))
	}
	if err != nil || len(got.Content) == 0 {
		s.proxy.log.Debug("declarations not fetched from a peer", zap.String("peer", a.Peer), zap.Error(err))
		return
	}
	s.handleContent(a.Hash, got.Content)
}

func (s *versionDriver) fetchFromStore(a versionproxy.FetchFromStore) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	content, err := s.history.Content(ctx, a.Hash)
	if err != nil {
		s.proxy.log.Info("declarations not fetched from the store", zap.Error(err))
		return
	}
	s.handleContent(a.Hash, content)
}

// receive checks content before it is put in force.
func (s *versionDriver) handleContent(hash string, content []byte) {
	bundle, err := operator.DecodeBundle(content, hash)
	if err != nil {
		s.proxy.log.Warn("declarations refused", zap.Error(err))
		return
	}
	config, err := s.parse(bundle)
	if err != nil {
		s.proxy.log.Error("accepted declarations cannot be put in force", zap.String("hash", hash), zap.Error(err))
	}
	s.mu.Lock()
	s.parsed[hash] = config
	s.mu.Unlock()
	defer s.removeParsed(hash)
	s.advance(func(dst []versionproxy.Action) []versionproxy.Action {
		return s.spread.HandleContent(hash, content, err == nil, dst)
	})
}

// read returns the configuration of the proxy's site.
func (s *versionDriver) parse(bundle operator.Bundle) (*operator.Configuration, error) {
	s.parseMu.Lock()
	defer s.parseMu.Unlock()
	return bundle.ForSite(s.parser, s.proxy.instance.Site)
}

func (s *versionDriver) removeParsed(hash string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.parsed, hash)
}

// putInForce makes a content that receive has read serve all requests.
func (s *versionDriver) applyVersion(a versionproxy.PutInForce) {
	s.mu.Lock()
	config := s.parsed[a.Head.Hash]
	stale := config == nil || s.spread.InForce().Version > a.Head.Version
	if !stale {
		s.cached = append(s.cached, cachedContent{hash: a.Head.Hash, content: a.Content})
		s.cached = s.cached[max(0, len(s.cached)-maxCachedContents):]
	}
	s.mu.Unlock()
	if stale {
		return
	}
	s.proxy.ApplyConfiguration(config)
	s.mu.Lock()
	s.spread.SetSettings(versionSettings(config))
	s.mu.Unlock()
	s.setLivePeers(s.proxy.livePeers())
	s.proxy.log.Info("version in force", zap.Uint64("version", a.Head.Version), zap.String("hash", a.Head.Hash))
}

// current returns the version in force and the one refused.
func (s *versionDriver) current() (force, refused versionproxy.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spread.InForce(), s.spread.Refused()
}

// told answers a peer that tells its version.
func (p *Proxy) handleTell(m proxy.TellMessage) proxy.TellMessage {
	if p.versions == nil {
		return proxy.TellMessage{From: p.instance.Name}
	}
	p.versions.observeHead(m)
	force, _ := p.versions.current()
	return proxy.TellMessage{From: p.instance.Name, Version: force.Version, Hash: force.Hash, ChangeID: force.ChangeID}
}

// fetched answers a peer that asks for content.
func (p *Proxy) handleFetch(m proxy.FetchMessage) proxy.FetchAnswer {
	if p.versions == nil {
		return proxy.FetchAnswer{}
	}
	content := p.versions.findContent(m.Hash)
	if content == nil {
		return proxy.FetchAnswer{}
	}
	if have := p.versions.findContent(m.Have); have != nil {
		patch := proxy.MakePatch(have, content)
		return proxy.FetchAnswer{Patch: &patch}
	}
	return proxy.FetchAnswer{Content: content}
}

func (p *Proxy) handleMembers(m proxy.MembersMessage) proxy.MembersAnswer {
	p.mu.Lock()
	members := p.members
	p.mu.Unlock()
	if members == nil {
		return proxy.MembersAnswer{}
	}
	return proxy.MembersAnswer{Members: members.differing(m.Buckets)}
}
