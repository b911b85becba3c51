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

// receiver handles the messages of other proxies and of operator commands.
type receiver struct {
	proxy.CallsOnly
	proxy *Proxy
}

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

// receiveCall handles the methods that return an answer.
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

// handleCall decodes a message, passes it to handle and returns the answer.
func handleCall[M, A any](params json.RawMessage, handle func(M) A) (any, error) {
	var m M
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return handle(m), nil
}

// handleNotification decodes a message and passes it to handle.
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
		g.failover.HandleOpinion(dbprocess.Opinion{
			Watcher: dbprocess.Watcher{Name: m.Watcher, Zone: m.Zone}, Term: m.Term, Suspect: m.Suspect,
		})
	}
}

// handleAnnounce passes the announcement of a new primary to the failover driver
// and probes all databases at once, since the announcement alone is not trusted.
func (r *receiver) handleAnnounce(m proxy.AnnounceMessage) {
	g := r.proxy.groups.lookup(m.Group)
	if g == nil {
		return
	}
	for i, member := range g.monitor.Members() {
		if member.Name == m.Primary {
			g.failover.HandleAnnounce(dbprocess.Announce{Term: m.Term, Primary: i})
		}
	}
	g.monitor.Refresh()
}

// peerMessenger sends a watcher's messages to the other proxies.
type peerMessenger struct{ proxy *Proxy }

// ShareOpinion implements dbprocess.PeerMessenger.
func (n *peerMessenger) ShareOpinion(group string, o dbprocess.Opinion) {
	message := proxy.OpinionMessage{Group: group, Watcher: o.Watcher.Name, Zone: o.Watcher.Zone, Term: o.Term, Suspect: o.Suspect}
	for _, w := range n.proxy.groups.watchers(group) {
		if w.Name != n.proxy.instance.Name {
			n.proxy.peers.Notify(w.Name, proxy.MethodOpinion, message)
		}
	}
}

// maxAnnouncePeers bounds the number of proxies that are notified of a new
// primary. The others learn of it from the probes that they send while they use
// the group.
const maxAnnouncePeers = 64

// AnnouncePrimary implements dbprocess.PeerMessenger. The group's watchers are
// notified first.
func (n *peerMessenger) AnnouncePrimary(group string, term uint64, primary string) {
	n.recordPromotion(group, term, primary)
	message := proxy.AnnounceMessage{Group: group, Term: term, Primary: primary}
	notified := map[string]bool{n.proxy.instance.Name: true}
	for _, peer := range append(n.proxy.groups.watchers(group), n.proxy.livePeers()...) {
		if len(notified) <= maxAnnouncePeers && !notified[peer.Name] {
			notified[peer.Name] = true
			n.proxy.peers.Notify(peer.Name, proxy.MethodAnnounce, message)
		}
	}
}

// recordPromotion stores the promotion in the platform's table in the background,
// so that a failover works while the table is unavailable.
func (n *peerMessenger) recordPromotion(group string, term uint64, primary string) {
	if n.proxy.promotions == nil {
		return
	}
	n.proxy.workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		promotion := platform.Promotion{Term: term, Primary: primary, By: n.proxy.instance.Name}
		if err := n.proxy.promotions.Record(ctx, group, promotion); err != nil {
			n.proxy.log.Warn("cannot record a promotion", zap.String("group", group), zap.Uint64("term", term), zap.Error(err))
		}
	})
}
