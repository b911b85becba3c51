package core

import (
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-faster/errors"

	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Endpoint is the HTTP server for a proxy's metrics, health and readiness checks
// and Go profiles.
type Endpoint struct {
	server   *http.Server
	listener net.Listener
}

// NewEndpoint listens on address and starts to serve HTTP requests.
func NewEndpoint(address string, p *Proxy) (*Endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", p.metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { p.serveReadiness(w) })
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	e := &Endpoint{server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, listener: l}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Address returns where the endpoint listens.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Close stops the server and closes its connections.
func (e *Endpoint) Close() { _ = e.server.Close() }

// serveReadiness tells the load balancer whether to send callers to this proxy. A
// proxy is ready if an active configuration declares groups and it is not
// shutting down.
func (p *Proxy) serveReadiness(w http.ResponseWriter) {
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	reason := ""
	switch {
	case leaving:
		reason = "leaving"
	case len(p.Configuration().Groups) == 0:
		reason = "no declarations in force"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// updateGauges updates the gauges of the proxy and of its open groups.
func (p *Proxy) updateGauges() {
	p.mu.Lock()
	sessions := len(p.sessions)
	p.mu.Unlock()
	p.metrics.sessions.Update(float64(sessions))
	for _, opened := range p.groups.all() {
		open, waiting := 0, 0
		for _, pool := range opened.serving.Pools {
			o, _, w := pool.Stats()
			open += o
			waiting += w
		}
		var term uint64
		writable := 0.0
		opened.monitor.View(func(known *dbprocess.Group) {
			_, term = known.Primary()
			if known.Writable() {
				writable = 1
			}
		})
		p.metrics.updateGroupGauges(opened.serving.Name, groupGauges{
			connections: float64(open), waiting: float64(waiting), term: float64(term), writable: writable,
			statusQueries: float64(opened.monitor.ProbesSent()),
		})
	}
}
