package front

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// headerLimit bounds the reading of a probe's or scraper's request.
const headerLimit = 3 * time.Second

// serveReady answers the balancer's probes.
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
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	go func() {
		if err := server.Serve(l); err != nil && !f.isDone() {
			f.log.Sugar().Errorf("serving %s ended: %v", address, err)
		}
	}()
	return nil
}

// StartHTTP serves readiness and metrics.
func (f *Front) StartHTTP() error {
	if err := f.listenHTTP(f.settings.ReadyAddress, http.HandlerFunc(f.serveReady)); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", f.metrics)
	return f.listenHTTP(f.settings.MetricsAddress, mux)
}
