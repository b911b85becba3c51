package core

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	standin "github.com/oleanderflow/oleanderflow/internal/standin/database"
	standinplatform "github.com/oleanderflow/oleanderflow/internal/standin/platform"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Port offsets of the parts of a development system, relative to the port of
// the first proxy.
const (
	devPlatformPortOffset = 8
	devControlPortOffset  = 9
	devPeerPortOffset     = 10
	devDatabasePortOffset = 20
)

const devGroup = "shop1"

var devZones = []string{"zone-a", "zone-b", "zone-c"}

// DevSettings are the settings of a development system.
type DevSettings struct {
	// Listen is the address of the first proxy.
	Listen  netip.AddrPort
	Proxies int
	// Lag is the replication lag of the replicas.
	Lag clock.Duration
	// EphemeralPorts lets the operating system choose all ports.
	EphemeralPorts bool
	// ReplicationDelay is the one-way network delay between databases.
	ReplicationDelay time.Duration
	// ExtraConfig is appended to the generated base file, and ExtraGroupConfig
	// to the section of its database group.
	ExtraConfig      string
	ExtraGroupConfig string
}

// Dev is a running development system: stand-ins for a database group and the
// platform's services, and proxies that are assigned to the zones in turn.
type Dev struct {
	Group    *standin.Group
	Platform *standinplatform.Server
	Proxies  []*Proxy
	dir      string
	control  *proxy.Peers
	leaving  map[string]bool
}

// NewDev starts a development system. The caller must close it.
func NewDev(s DevSettings, log *zap.Logger) (*Dev, error) {
	dir, err := os.MkdirTemp("", "oleanderflow")
	if err != nil {
		return nil, errors.Wrap(err, "create a directory for the stand-in databases")
	}
	d := &Dev{dir: dir}
	if err := d.start(s, log); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(s DevSettings, log *zap.Logger) error {
	var databases []standin.Settings
	for i, zone := range devZones {
		databases = append(databases, standin.Settings{
			Name: string(rune('a' + i)), Zone: zone, Address: s.address(devDatabasePortOffset + i),
			MaxConnections: 50, ConnectDelay: 10 * time.Millisecond, ReplicationDelay: s.ReplicationDelay,
		})
	}
	g, err := standin.NewGroup(devGroup, d.dir, clock.NewSystem(), log.Named("standin"), databases)
	if err != nil {
		return err
	}
	d.Group = g
	for _, database := range g.Databases[1:] {
		database.SetLag(s.Lag)
	}
	d.Platform, err = standinplatform.NewServer(s.address(devPlatformPortOffset))
	if err != nil {
		return err
	}
	if err := d.applyInitialConfig(context.Background(), s); err != nil {
		return err
	}
	if err := d.startProxies(s, log); err != nil {
		return err
	}
	d.control, err = proxy.NewPeers(s.address(devControlPortOffset), &faultReceiver{dev: d}, log)
	return err
}

// address returns the listen address with the port moved by offset, or with
// port 0 if EphemeralPorts is set.
func (s DevSettings) address(offset int) string {
	port := int(s.Listen.Port()) + offset
	if s.EphemeralPorts {
		port = 0
	}
	return netip.AddrPortFrom(s.Listen.Addr(), uint16(port)).String()
}

// applyInitialConfig submits a configuration of the stand-in databases as the
// first version, in the same way as the apply command.
func (d *Dev) applyInitialConfig(ctx context.Context, s DevSettings) error {
	var b strings.Builder
	b.WriteString("[group." + devGroup + "]\ncustomer = tyre ballast shop\nconnections = 50\n" + s.ExtraGroupConfig)
	for _, database := range d.Group.Databases {
		fmt.Fprintf(&b, "[database.%s.%s]\naddress = %s\nzone = %s\n", devGroup, database.Name(), database.Address(), database.Zone())
	}
	b.WriteString("[read.stock]\napplication = stock\nmaxAge = 2s\n")
	b.WriteString(s.ExtraConfig)
	_, err := d.history().Apply(ctx, versionplatform.Change{
		ID: "dev", By: "dev", Bundle: operator.Bundle{Base: operator.File{Name: "dev.ini", Text: b.String()}},
	})
	return err
}

func (d *Dev) awsConfig() platform.AWSConfig {
	return platform.AWSConfig{
		Endpoint: d.Platform.Endpoint(), Region: "local", KeyID: "dev", Secret: "dev",
		Table: "oleanderflow", Bucket: "oleanderflow",
	}
}

func (d *Dev) history() *versionplatform.History {
	return versionplatform.NewHistory(platform.NewDynamoTable(d.awsConfig()), platform.NewS3Objects(d.awsConfig()))
}

func (d *Dev) startProxies(s DevSettings, log *zap.Logger) error {
	for i := range s.Proxies {
		p, err := NewProxy(Instance{
			Name: fmt.Sprintf("proxy-%d", i+1), Zone: devZones[i%len(devZones)],
			Listen: s.address(i), PeerListen: s.address(devPeerPortOffset + i),
		}, operator.Default(), log, WithHistory(d.history()),
			WithPromotions(platform.NewPromotions(platform.NewDynamoTable(d.awsConfig()))), WithInstanceList(platform.NewHTTPList(d.Platform.Endpoint()+"/instances")))
		if err != nil {
			return err
		}
		d.Proxies = append(d.Proxies, p)
		d.publishInstances()
		go p.Serve()
	}
	return nil
}

// publishInstances updates the platform's instance list with the proxies and the
// backend servers.
func (d *Dev) publishInstances() {
	var instances []platform.Instance
	for _, p := range d.Proxies {
		self := p.Self()
		instances = append(instances, platform.Instance{Name: self.Name, Zone: self.Zone, Address: self.Address})
	}
	for _, database := range d.Group.Databases {
		instances = append(instances, platform.Instance{
			Name: database.Name(), Zone: database.Zone(), Address: database.Address(),
			Backend: true, Leaving: d.leaving[database.Name()],
		})
	}
	d.Platform.SetInstances(instances)
}

// SetLeaving marks the backend server of the named database as leaving in the
// platform's instance list.
func (d *Dev) SetLeaving(name string) {
	if d.leaving == nil {
		d.leaving = make(map[string]bool)
	}
	d.leaving[name] = true
	d.publishInstances()
}

// Close stops the proxies and the stand-ins and deletes their data.
func (d *Dev) Close() {
	if d.control != nil {
		d.control.Close()
	}
	for _, p := range d.Proxies {
		p.Close()
	}
	if d.Platform != nil {
		d.Platform.Close()
	}
	if d.Group != nil {
		d.Group.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// FaultMessage requests a fault from a running development system.
type FaultMessage struct {
	Group string `json:"group"`
	Kind  string `json:"kind"`
}

const methodFault = "fault"

type faultReceiver struct {
	proxy.CallsOnly
	dev *Dev
}

// Receive implements proxy.Receiver.
func (f *faultReceiver) Receive(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method != methodFault {
		return nil, errors.Errorf("unknown method %q", method)
	}
	var m FaultMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return nil, f.dev.InjectFault(m.Group, m.Kind)
}

// InjectFault causes a fault of the given kind. The help of the dev fault command
// lists the kinds. It returns an error if the group or the kind is unknown.
func (d *Dev) InjectFault(group, kind string) error {
	if group != d.Group.Name {
		return errors.Errorf("no database group %q; expected %s", group, d.Group.Name)
	}
	if lag, ok := strings.CutPrefix(kind, "lag="); ok {
		return d.setLag(lag)
	}
	switch kind {
	case "stopPrimary":
		d.Group.Primary().Stop()
	case "partitionPrimary":
		d.Group.Primary().Partition()
	case "storeDown", "storeUp":
		d.Platform.SetDown(kind == "storeDown")
	case "heal":
		for _, database := range d.Group.Databases {
			database.Heal()
		}
	default:
		return errors.Errorf("unknown fault %q; expected stopPrimary, partitionPrimary, lag=2s, heal, storeDown or storeUp", kind)
	}
	return nil
}

func (d *Dev) setLag(text string) error {
	lag, err := time.ParseDuration(text)
	if err != nil || lag < 0 {
		return errors.Errorf("invalid lag %q; expected a time such as 2s", text)
	}
	for _, database := range d.Group.Databases {
		database.SetLag(clock.FromStd(lag))
	}
	return nil
}

// AwaitReady waits until every proxy knows a writable primary of the group.
func (d *Dev) AwaitReady(ctx context.Context) error {
	for _, p := range d.Proxies {
		if err := p.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func runDev(ctx context.Context, o *DevOptions, log *zap.Logger) int {
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fail(err)
	}
	d, err := NewDev(DevSettings{Listen: listen, Proxies: o.Proxies, Lag: clock.FromStd(o.Lag)}, log)
	if err != nil {
		return fail(err)
	}
	defer d.Close()
	readyCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := d.AwaitReady(readyCtx); err != nil {
		return fail(errors.Wrap(err, "wait for the first primary"))
	}
	addresses := make([]string, len(d.Proxies))
	for i, p := range d.Proxies {
		addresses[i] = p.Address()
	}
	fmt.Printf("ready: database %s at %s\n", devGroup, strings.Join(addresses, ", "))
	<-ctx.Done()
	for _, p := range d.Proxies {
		p.Shutdown(p.Configuration().Limits.ShutdownLimit)
	}
	return ExitOK
}

func runFault(ctx context.Context, o *DevOptions) int {
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fail(err)
	}
	address := netip.AddrPortFrom(listen.Addr(), listen.Port()+devControlPortOffset).String()
	if err := proxy.CallAddress(ctx, address, methodFault, FaultMessage{Group: o.Fault.Group, Kind: o.Fault.Kind}, nil); err != nil {
		return fail(errors.Wrap(err, "cause the fault"))
	}
	fmt.Println("done:", o.Fault.Kind)
	return ExitOK
}
