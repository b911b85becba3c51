package front

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// headerTimeout is the timeout for reading the headers of a probe or scrape.
const headerTimeout = 3 * time.Second

// serveReady answers the readiness probes of the load balancer.
func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listenHTTP serves h on an address until the process ends.
func (f *Front) listenHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(l); err != nil && !f.isStopped() {
			f.log.Sugar().Errorf("HTTP server on %s stopped: %v", address, err)
		}
	}()
	return nil
}

// StartHTTP serves readiness, metrics, the status and explanations of routes in the background. It returns an error
// if one of the addresses cannot be used.
func (f *Front) StartHTTP() error {
	if err := f.listenHTTP(f.settings.ReadyAddress, http.HandlerFunc(f.serveReady)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", f.metrics)
	mux.HandleFunc("/status", f.serveStatus)
	mux.HandleFunc("GET "+explainRoutePath, f.serveExplainRoute)
	return f.listenHTTP(f.settings.MetricsAddress, mux)
}
