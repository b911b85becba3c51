package core

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	dbconn "github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	dbrequest "github.com/oleanderflow/oleanderflow/internal/request/database"
)

// maxForwardConnections bounds the connections of one proxy to one home proxy of
// a group.
const maxForwardConnections = 64

// updateHomesLocked selects the home proxies of a group and, unless this proxy is
// one of them, sets up forwarding to them. It returns how many were selected.
func (g *groups) updateHomesLocked(opened *group) int {
	name := opened.serving.Name
	selected := proxy.ChoosePeers("home/"+name, g.live, opened.declared.Homes)
	var homes []dbrequest.Home
	for _, peer := range selected {
		if peer.Name == g.proxy.instance.Name {
			homes = nil
			break
		}
		if peer.Callers == "" {
			// The peer is known only from the instance list, which has no caller
			// address. The address comes with the peer's own membership messages.
			continue
		}
		pool := opened.serving.Homes.Find(peer.Name + " " + peer.Callers)
		if pool == nil {
			pool = dbconn.NewPool(g.proxy.homeTarget(name, peer), dbconn.PoolSettings{
				MaxConnections: maxForwardConnections, MaxQueue: g.active.Load().config.Limits.QueueLength,
			})
		}
		homes = append(homes, dbrequest.Home{Name: peer.Name + " " + peer.Callers, Zone: peer.Zone, Pool: pool})
	}
	for _, dropped := range opened.serving.Homes.Set(homes) {
		dropped.Close()
	}
	return len(selected)
}

func (p *Proxy) homeTarget(group string, home proxy.Peer) dbconn.Target {
	t := dbconn.Target{
		Address: home.Callers, Database: group, User: "proxy",
		Application: "oleanderflow/" + p.instance.Zone, ForwardProof: p.forwardProof(group),
	}
	if p.acceptor.TLS != nil {
		t.TLS = p.homeTLS()
	}
	return t
}

// homeTLS returns a configuration that accepts only this proxy's own caller
// certificate, since all proxies of a site use the same one.
func (p *Proxy) homeTLS() *tls.Config {
	return &tls.Config{
		InsecureSkipVerify: true, MinVersion: tls.VersionTLS12,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			own := p.acceptor.TLS().Certificates[0].Certificate
			if len(raw) == 0 || !bytes.Equal(raw[0], own[0]) {
				return &UntrustedHomeError{}
			}
			return nil
		},
	}
}

// UntrustedHomeError reports a home proxy that presented a certificate other than
// the site's.
type UntrustedHomeError struct{}

func (*UntrustedHomeError) Error() string {
	return "the home proxy does not show the site's certificate"
}

// unauthenticatedProof is sent instead of an HMAC when the proxies share no
// secret. It is accepted only where callers are trusted.
const unauthenticatedProof = "trusted"

// forwardProof returns the value of the forward parameter, by which a home proxy
// recognizes forwarded requests of a group: an HMAC with the shared secret.
func (p *Proxy) forwardProof(group string) string {
	if len(p.peerSecret) == 0 {
		return unauthenticatedProof
	}
	mac := hmac.New(sha256.New, p.peerSecret)
	_, _ = mac.Write([]byte("forward " + group))
	return hex.EncodeToString(mac.Sum(nil))
}

// isProxy reports whether the startup parameters of a connection prove that
// another proxy opened it.
func (p *Proxy) isProxy(parameters map[string]string) bool {
	proof := parameters[callerconn.ForwardParameter]
	if proof == "" {
		return false
	}
	if len(p.peerSecret) == 0 {
		_, trusted := p.acceptor.Auth.(callerconn.Trust)
		return trusted && proof == unauthenticatedProof
	}
	return hmac.Equal([]byte(proof), []byte(p.forwardProof(parameters["database"])))
}
