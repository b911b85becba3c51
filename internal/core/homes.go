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

// forwardConnections bounds the connections of one proxy to one home of a
// group.
const forwardConnections = 64

// chooseHomes forwards a group's requests to its home proxies, unless this
// proxy is one of them. It returns how many they are.
func (g *groups) chooseHomes(opened *group) int {
	name := opened.serving.Name
	chosen := proxy.ChoosePeers("home/"+name, g.live, opened.declared.Homes)
	var homes []dbrequest.Home
	for _, peer := range chosen {
		if peer.Name == g.proxy.instance.Name {
			homes = nil
			break
		}
		if peer.Callers == "" {
			// Its own word on where callers connect has not come yet.
			continue
		}
		pool := opened.serving.Homes.Find(peer.Name + " " + peer.Callers)
		if pool == nil {
			pool = dbconn.NewPool(g.proxy.homeTarget(name, peer), dbconn.PoolSettings{
				MaxConnections: forwardConnections, MaxQueue: g.force.Load().config.Limits.QueueLength,
			})
		}
		homes = append(homes, dbrequest.Home{Name: peer.Name + " " + peer.Callers, Zone: peer.Zone, Pool: pool})
	}
	for _, dropped := range opened.serving.Homes.Set(homes) {
		dropped.Close()
	}
	return len(chosen)
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

// homeTLS accepts the certificate that this proxy itself shows callers, since
// all proxies of a site show the same.
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

// UntrustedHomeError reports a home proxy with a certificate that is not the
// site's.
type UntrustedHomeError struct{}

func (*UntrustedHomeError) Error() string {
	return "the home proxy does not show the site's certificate"
}

// trustedForward is what proxies show each other where callers are trusted.
const trustedForward = "trusted"

// forwardProof is what shows another proxy that this is one too.
func (p *Proxy) forwardProof(group string) string {
	if len(p.secret) == 0 {
		return trustedForward
	}
	mac := hmac.New(sha256.New, p.secret)
	_, _ = mac.Write([]byte("forward " + group))
	return hex.EncodeToString(mac.Sum(nil))
}

// isProxy reports whether a start is another proxy's.
func (p *Proxy) isProxy(parameters map[string]string) bool {
	shown := parameters[callerconn.ForwardParameter]
	if shown == "" {
		return false
	}
	if len(p.secret) == 0 {
		_, trusted := p.acceptor.Auth.(callerconn.Trust)
		return trusted && shown == trustedForward
	}
	return hmac.Equal([]byte(shown), []byte(p.forwardProof(parameters["database"])))
}
