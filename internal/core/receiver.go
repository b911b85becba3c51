package core

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

// receiver takes in the messages of other proxies.
type receiver struct{ proxy *Proxy }

// Receive implements proxy.Receiver.
func (r *receiver) Receive(_ context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case proxy.MethodOpinion:
		return nil, handleNotification(params, r.handleOpinion)
	case proxy.MethodAnnounce:
		return nil, handleNotification(params, r.handleAnnounce)
	case proxy.MethodCancel:
		return nil, handleNotification(params, func(m proxy.CancelMessage) {
			r.proxy.cancel(callerconn.CancelKey{PID: m.PID, Secret: m.Secret}, false)
		})
	}
	return r.receiveCall(method, params)
}

// receiveShared serves what proxies keep in common: members, declarations
// and status.
func (r *receiver) receiveCall(method string, params json.RawMessage) (any, error) {
	switch method {
	case proxy.MethodMembers:
		return handleCall(params, r.proxy.handleMembers)
	case proxy.MethodTell:
		return handleCall(params, r.proxy.handleTell)
	case proxy.MethodFetch:
		return handleCall(params, r.proxy.handleFetch)
	case proxy.MethodPause:
		return handleCall(params, r.proxy.handlePause)
	case proxy.MethodPromote:
		var m proxy.PromoteMessage
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, errors.Wrap(err, "decode message")
		}
		return r.proxy.handlePromote(m)
	case proxy.MethodStatus:
		return r.proxy.Status(), nil
	}
	return nil, errors.Errorf("unknown method %q", method)
}

// answer decodes a message for handle and returns its answer.
func handleCall[M, A any](params json.RawMessage, handle func(M) A) (any, error) {
	var m M
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return handle(m), nil
}

// with decodes a message for handle.
func handleNotification[M any](params json.RawMessage, handle func(M)) error {
	var m M
	if err := json.Unmarshal(params, &m); err != nil {
		return errors.Wrap(err, "decode message")
	}
	handle(m)
	return nil
}

func (r *receiver) handleOpinion(m proxy.OpinionMessage) {
	if g := r.proxy.groups.lookup(m.Group); g != nil {
		g.watch.HandleOpinion(dbprocess.Opinion{
			Watcher: dbprocess.Watcher{Name: m.Watcher, Zone: m.Zone}, Term: m.Term, Suspect: m.Suspect,
		})
	}
}

// announce believes no announcement: it asks the databases at once.
func (r *receiver) handleAnnounce(m proxy.AnnounceMessage) {
	g := r.proxy.groups.lookup(m.Group)
	if g == nil {
		return
	}
	for i, member := range g.monitor.Members() {
		if member.Name == m.Primary {
			g.watch.HandleAnnounce(dbprocess.Announce{Term: m.Term, Primary: i})
		}
	}
	g.monitor.Refresh()
}

// colleagues carries a watcher's messages to the other proxies.
type peerNotifier struct{ proxy *Proxy }

// ShareOpinion implements the database package's Colleagues.
func (c *peerNotifier) ShareOpinion(group string, o dbprocess.Opinion) {
	message := proxy.OpinionMessage{Group: group, Watcher: o.Watcher.Name, Zone: o.Watcher.Zone, Term: o.Term, Suspect: o.Suspect}
	for _, w := range c.proxy.groups.watchers(group) {
		if w.Name != c.proxy.instance.Name {
			c.proxy.peers.Notify(w.Name, proxy.MethodOpinion, message)
		}
	}
}

// maxAnnounced bounds the proxies that are told of a new primary. The others
// learn of it by the questions that they ask while they use the group.
const maxAnnouncePeers = 64

// AnnouncePrimary implements the database package's Colleagues.
func (c *peerNotifier) AnnouncePrimary(group string, term uint64, primary string) {
	c.recordPromotion(group, term, primary)
	message := proxy.AnnounceMessage{Group: group, Term: term, Primary: primary}
	told := map[string]bool{c.proxy.instance.Name: true}
	for _, peer := range append(c.proxy.groups.watchers(group), c.proxy.livePeers()...) {
		if len(told) <= maxAnnouncePeers && !told[peer.Name] {
			told[peer.Name] = true
			c.proxy.peers.Notify(peer.Name, proxy.MethodAnnounce, message)
		}
	}
}

// record keeps the change in the platform's table, however long that is
// away. Nothing waits for it.
func (c *peerNotifier) recordPromotion(group string, term uint64, primary string) {
	if c.proxy.promotions == nil {
		return
	}
	c.proxy.workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		promotion := platform.Promotion{Term: term, Primary: primary, By: c.proxy.instance.Name}
		if err := c.proxy.promotions.Record(ctx, group, promotion); err != nil {
			c.proxy.log.Warn("promotion not recorded", zap.String("group", group), zap.Uint64("term", term), zap.Error(err))
		}
	})
}
