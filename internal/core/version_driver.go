package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/patch"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
	versionproxy "github.com/oleanderflow/oleanderflow/internal/version/proxy"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// fetchTimeout bounds an exchange with a peer.
	fetchTimeout = 2 * clock.Second
	// storeTimeout bounds a request to the platform's table or object store.
	storeTimeout = 5 * time.Second
)

// versionDriver keeps one proxy on the latest accepted version of the
// configuration: it passes time and messages to versionproxy.Spread, the gossip
// protocol for versions, and carries out the resulting actions. Lock order:
// applyMu before mu before Proxy.mu.
type versionDriver struct {
	proxy   *Proxy
	history *versionplatform.History
	// apply puts a configuration in force.
	apply func(*operator.Configuration)
	// applyMu is held while a version is checked and applied, so that a version
	// that is applied late cannot replace a later one.
	applyMu sync.Mutex

	mu     sync.Mutex
	spread *versionproxy.Spread
	// parseMu guards parser, which parses the content of one version at a time.
	parseMu sync.Mutex
	parser  *operator.Parser
	// cached holds the contents of the last active versions, the newest at the
	// end.
	cached []cachedContent
	// polling is set while poll reads the head version.
	polling bool
}

// cachedContent is the encoded content of a version that was active, with its
// hash.
type cachedContent struct {
	hash    string
	content []byte
}

// maxCachedContents is how many contents are cached. A peer that still runs on
// one of them is sent a patch instead of the whole content.
const maxCachedContents = 4

// findContent returns the cached content with a hash, or nil if there is none.
func (d *versionDriver) findContent(hash string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.cached {
		if c.hash == hash && hash != "" {
			return c.content
		}
	}
	return nil
}

func newVersionDriver(p *Proxy, h *versionplatform.History) *versionDriver {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(pidPrefix(p.instance.Name))))
	d := &versionDriver{
		proxy: p, history: h, apply: p.ApplyConfiguration, parser: operator.NewParser(),
		spread: versionproxy.NewSpread(versionSettings(p.Configuration()), rng),
	}
	p.scheduler.Add(d)
	return d
}

func versionSettings(config *operator.Configuration) versionproxy.Settings {
	settings := config.Spread
	return versionproxy.Settings{
		PollInterval: settings.PollInterval, GossipInterval: settings.GossipInterval,
		Fanout: settings.Fanout, FetchTimeout: fetchTimeout,
	}
}

// updateLivePeers sets the live proxies as the peers to exchange versions with, and
// whether this proxy polls the platform's table.
func (d *versionDriver) updateLivePeers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := d.proxy.livePeers()
	var names []string
	for _, p := range live {
		if p.Name != d.proxy.instance.Name {
			names = append(names, p.Name)
		}
	}
	pollers := proxy.ChoosePeers("declarations", live, d.proxy.Configuration().Spread.Pollers)
	d.spread.SetPeers(names, proxy.ContainsPeer(pollers, d.proxy.instance.Name))
}

// Tick implements dbprocess.Tickable.
func (d *versionDriver) Tick(now clock.Time) {
	d.advance(func(dst []versionproxy.Action) []versionproxy.Action { return d.spread.Tick(now, dst) })
}

// advance runs one step of the version exchange under the lock and carries out
// the returned actions without it.
func (d *versionDriver) advance(step func([]versionproxy.Action) []versionproxy.Action) {
	d.advanceWith(nil, step)
}

// advanceWith is advance for a step that may activate the version of config.
func (d *versionDriver) advanceWith(config *operator.Configuration, step func([]versionproxy.Action) []versionproxy.Action) {
	d.mu.Lock()
	actions := step(nil)
	d.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case versionproxy.Activate:
			d.applyVersion(a, config)
		case versionproxy.Poll:
			d.submit(d.poll)
		case versionproxy.SendHead:
			d.submit(func() { d.sendHead(a) })
		case versionproxy.FetchFromPeer:
			d.submit(func() { d.fetchFromPeer(a) })
		case versionproxy.FetchFromStore:
			d.submit(func() { d.fetchFromStore(a) })
		}
	}
}

func (d *versionDriver) submit(task func()) { d.proxy.workers.Submit(task) }

// poll reads the head version from the platform's table, unless a read is already
// running.
func (d *versionDriver) poll() {
	d.mu.Lock()
	if d.polling {
		d.mu.Unlock()
		return
	}
	d.polling = true
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	head, err := d.history.Head(ctx)
	d.mu.Lock()
	d.polling = false
	d.mu.Unlock()
	if err != nil {
		d.proxy.log.Debug("cannot read the head version", zap.Error(err))
		return
	}
	before := d.behind()
	d.advance(func(dst []versionproxy.Action) []versionproxy.Action {
		return d.spread.HandlePolled(d.proxy.clock.Now(), versionproxy.Head(head), dst)
	})
	if now := d.behind(); now != before && now != (versionproxy.Head{}) {
		active, _ := d.current()
		d.proxy.log.Warn("table has an older version than the one in force", zap.Uint64("version", now.Version),
			zap.String("change", now.ChangeID), zap.Uint64("inForce", active.Version))
	}
}

// behind returns the head of the table if that is not as new as the active version.
func (d *versionDriver) behind() versionproxy.Head {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spread.Behind()
}

// sendHead sends the active version to a peer and records the version that the
// peer answers with.
func (d *versionDriver) sendHead(a versionproxy.SendHead) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Std())
	defer cancel()
	message := proxy.TellMessage{From: d.proxy.instance.Name, Version: a.Head.Version, Hash: a.Head.Hash, ChangeID: a.Head.ChangeID}
	var answer proxy.TellMessage
	if err := d.proxy.peers.Call(ctx, a.Peer, proxy.MethodTell, message, &answer); err != nil {
		d.proxy.log.Debug("cannot exchange versions with a peer", zap.String("peer", a.Peer), zap.Error(err))
		return
	}
	d.observeHead(answer)
}

// observeHead records the version that a peer runs on.
func (d *versionDriver) observeHead(m proxy.TellMessage) {
	head := versionproxy.Head{Version: m.Version, Hash: m.Hash, ChangeID: m.ChangeID}
	d.advance(func(dst []versionproxy.Action) []versionproxy.Action {
		return d.spread.HandlePeerHead(d.proxy.clock.Now(), m.From, head, dst)
	})
}

func (d *versionDriver) fetchFromPeer(a versionproxy.FetchFromPeer) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout.Std())
	defer cancel()
	var answer proxy.FetchAnswer
	err := d.proxy.peers.Call(ctx, a.Peer, proxy.MethodFetch, proxy.FetchMessage{Hash: a.Hash, Have: a.Have}, &answer)
	if err == nil && answer.Patch != nil {
		answer.Content, err = answer.Patch.Apply(d.findContent(a.Have))
	}
	if err != nil || len(answer.Content) == 0 {
		d.proxy.log.Debug("cannot fetch a configuration from a peer", zap.String("peer", a.Peer), zap.Error(err))
		return
	}
	d.handleContent(a.Hash, answer.Content)
}

func (d *versionDriver) fetchFromStore(a versionproxy.FetchFromStore) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	content, err := d.history.Content(ctx, a.Hash)
	if err != nil {
		d.proxy.log.Info("cannot fetch a configuration from the object store", zap.Error(err))
		return
	}
	d.handleContent(a.Hash, content)
}

// handleContent checks, parses and applies fetched content. Content that does not
// match its hash or cannot be decoded is dropped and fetched again later.
// Content that is not a valid configuration for this site is refused, so that it
// is not fetched again.
func (d *versionDriver) handleContent(hash string, content []byte) {
	bundle, err := operator.DecodeBundle(content, hash)
	if err != nil {
		d.proxy.log.Warn("fetched configuration does not match its hash or cannot be decoded", zap.Error(err))
		return
	}
	config, err := d.parse(bundle)
	if err != nil {
		d.proxy.log.Error("cannot apply an accepted configuration", zap.String("hash", hash), zap.Error(err))
	}
	d.advanceWith(config, func(dst []versionproxy.Action) []versionproxy.Action {
		return d.spread.HandleContent(hash, content, err == nil, dst)
	})
}

// parse returns the configuration of a bundle for the proxy's site.
func (d *versionDriver) parse(bundle operator.Bundle) (*operator.Configuration, error) {
	d.parseMu.Lock()
	defer d.parseMu.Unlock()
	return bundle.ForSite(d.parser, d.proxy.instance.Site)
}

// applyVersion applies a version, whose content config was parsed from. It does nothing
// if a later version is already active.
func (d *versionDriver) applyVersion(a versionproxy.Activate, config *operator.Configuration) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	stale := d.spread.Active().Version > a.Head.Version
	if !stale {
		d.cached = append(d.cached, cachedContent{hash: a.Head.Hash, content: a.Content})
		d.cached = d.cached[max(0, len(d.cached)-maxCachedContents):]
	}
	d.mu.Unlock()
	if stale {
		return
	}
	d.apply(config)
	d.mu.Lock()
	d.spread.SetSettings(versionSettings(config))
	d.mu.Unlock()
	d.updateLivePeers()
	d.proxy.log.Info("configuration version applied", zap.Uint64("version", a.Head.Version), zap.String("hash", a.Head.Hash))
}

// current returns the active version and the last refused version.
func (d *versionDriver) current() (active, refused versionproxy.Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spread.Active(), d.spread.Refused()
}

// handleTell records a peer's version and returns the active version of this
// proxy.
func (p *Proxy) handleTell(m proxy.TellMessage) proxy.TellMessage {
	if p.versions == nil {
		return proxy.TellMessage{From: p.instance.Name}
	}
	p.versions.observeHead(m)
	active, _ := p.versions.current()
	return proxy.TellMessage{From: p.instance.Name, Version: active.Version, Hash: active.Hash, ChangeID: active.ChangeID}
}

// handleFetch returns the requested content to a peer, as a patch if the content
// that the peer has is cached here. The answer is empty if the requested content
// is not cached.
func (p *Proxy) handleFetch(m proxy.FetchMessage) proxy.FetchAnswer {
	if p.versions == nil {
		return proxy.FetchAnswer{}
	}
	content := p.versions.findContent(m.Hash)
	if content == nil {
		return proxy.FetchAnswer{}
	}
	if have := p.versions.findContent(m.Have); have != nil {
		p := patch.Make(have, content)
		return proxy.FetchAnswer{Patch: &p}
	}
	return proxy.FetchAnswer{Content: content}
}

// handleMembers compares a peer's member table with this proxy's and returns the
// members that differ.
func (p *Proxy) handleMembers(m proxy.MembersMessage) proxy.MembersAnswer {
	p.mu.Lock()
	members := p.members
	p.mu.Unlock()
	if members == nil {
		return proxy.MembersAnswer{}
	}
	return proxy.MembersAnswer{Members: members.differing(m.Buckets)}
}
