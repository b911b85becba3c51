package core

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	callerconn "github.com/oleanderflow/oleanderflow/internal/connection/caller"
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// readyPollInterval is the time between two checks for an active configuration.
const readyPollInterval = 10 * time.Millisecond

// AwaitReady waits until a configuration with groups is active and the proxy
// knows a writable primary of every group. If ctx ends first, the error says what
// was missing.
func (p *Proxy) AwaitReady(ctx context.Context) error {
	for len(p.Configuration().Groups) == 0 {
		timer := time.NewTimer(readyPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrap(ctx.Err(), "wait for an accepted configuration")
		}
	}
	for _, declared := range p.Configuration().Groups {
		serving := p.Serving(declared.Name)
		if serving == nil {
			continue
		}
		if err := serving.Monitor.Await(ctx, (*dbprocess.Group).Writable); err != nil {
			return errors.Wrap(err, "group "+declared.Name)
		}
	}
	return nil
}

func runProxy(ctx context.Context, o *ProxyOptions, log *zap.Logger) int {
	if err := o.checkSecurity(); err != nil {
		return fail(err)
	}
	p, err := startProxy(o, log)
	if err != nil {
		return fail(err)
	}
	if o.Metrics != "" {
		endpoint, err := NewEndpoint(o.Metrics, p)
		if err != nil {
			p.Close()
			return fail(err)
		}
		defer endpoint.Close()
	}
	go p.Serve()
	fmt.Println("ready: proxy", o.Name, "at", p.Address())
	<-ctx.Done()
	if !p.Shutdown(p.Configuration().Limits.ShutdownLimit) {
		return fail(errors.New("running requests were interrupted at the shutdown limit"))
	}
	return ExitOK
}

// startProxy starts a proxy that runs on configuration files, or on the accepted
// versions if no base file is given.
func startProxy(o *ProxyOptions, log *zap.Logger) (*Proxy, error) {
	peers, err := parsePeers(o.Peers)
	if err != nil {
		return nil, err
	}
	config := operator.Default()
	options, err := o.securityOptions()
	if err != nil {
		return nil, err
	}
	if o.Base != "" {
		if config, _, err = (ConfigOptions{Base: o.Base, Overlay: o.Overlay}).loadConfig(); err != nil {
			return nil, err
		}
	} else {
		promotions := platform.NewPromotions(platform.NewDynamoTable(o.awsConfig()))
		options = append(options, WithHistory(o.history()), WithPromotions(promotions))
	}
	var list platform.InstanceList = staticList(peers)
	if o.List != "" {
		list = platform.NewHTTPList(o.List)
	}
	instance := Instance{Name: o.Name, Zone: o.Zone, Site: o.Site, Listen: o.Listen, PeerListen: o.PeerListen}
	return NewProxy(instance, config, log, append(options, WithInstanceList(list))...)
}

// staticList is an instance list made of the --peer arguments.
type staticList []proxy.Peer

// Instances implements platform.InstanceList.
func (l staticList) Instances(context.Context) ([]platform.Instance, error) {
	instances := make([]platform.Instance, len(l))
	for i, p := range l {
		instances[i] = platform.Instance{Name: p.Name, Zone: p.Zone, Address: p.Address}
	}
	return instances, nil
}

// checkSecurity checks that the TLS options fit together and that an address
// other than loopback is used only with authentication and TLS: remote callers
// are not trusted, and their passwords are not accepted in plaintext.
func (o *ProxyOptions) checkSecurity() error {
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return err
	}
	switch {
	case (o.TLSCert == "") != (o.TLSKey == ""):
		return &OptionError{Option: "--tls-cert", Value: o.TLSCert, Expected: "--tls-key as well"}
	case o.TLSRequire && o.TLSCert == "":
		return &OptionError{Option: "--tls-require", Value: "true", Expected: "--tls-cert and --tls-key as well"}
	case !listen.Addr().IsLoopback() && (o.Users == "" || !o.TLSRequire):
		return &OptionError{Option: "--listen", Value: o.Listen, Expected: "a loopback address, or --users, --tls-cert, --tls-key and --tls-require"}
	}
	return nil
}

// securityOptions returns the options for TLS, authentication and the proxies'
// shared secret.
func (o *ProxyOptions) securityOptions() ([]Option, error) {
	var options []Option
	if o.TLSCert != "" {
		current, err := callerconn.LoadTLS(o.TLSCert, o.TLSKey)
		if err != nil {
			return nil, err
		}
		options = append(options, WithTLS(current, o.TLSRequire))
	}
	if o.Users != "" {
		users, err := callerconn.LoadUsers(o.Users)
		if err != nil {
			return nil, err
		}
		options = append(options, WithAuthentication(users))
	}
	if o.Secret != "" {
		secret, err := os.ReadFile(o.Secret)
		if err != nil {
			return nil, errors.Wrap(err, "read the proxies' secret")
		}
		options = append(options, WithPeerSecret(bytes.TrimSpace(secret)))
	}
	return options, nil
}

// runVerifier reads a password from in and prints a line for the users file.
func runVerifier(in io.Reader, o *VerifierOptions) int {
	password, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return fail(errors.Wrap(err, "read the password"))
	}
	password = strings.TrimRight(password, "\r\n")
	if password == "" {
		return fail(&OptionError{Option: "password", Value: "", Expected: "a password on standard input"})
	}
	verifier, err := callerconn.NewVerifier(o.User, password)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s = %s\n", o.User, verifier)
	return ExitOK
}

func parsePeers(values []string) ([]proxy.Peer, error) {
	var peers []proxy.Peer
	for _, value := range values {
		fields := strings.Split(value, ",")
		if len(fields) != 3 {
			return nil, &OptionError{Option: "--peer", Value: value, Expected: "NAME,ZONE,IP:PORT"}
		}
		if _, _, err := net.SplitHostPort(fields[2]); err != nil {
			return nil, &OptionError{Option: "--peer", Value: value, Expected: "NAME,ZONE,IP:PORT"}
		}
		peers = append(peers, proxy.Peer{Name: fields[0], Zone: fields[1], Address: fields[2]})
	}
	return peers, nil
}
