package core

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alexflint/go-arg"
)

// Version is the program's version, printed by --version.
const Version = "0.1.0"

// The program's exit codes.
const (
	ExitOK = 0
	// ExitFailed: the command ran and failed.
	ExitFailed = 1
	// ExitUsage: the arguments or the configuration files are invalid.
	ExitUsage = 2
	// ExitViolation: a guarantee was violated during the demo.
	ExitViolation = 3
	// ExitConflict: another change was accepted first.
	ExitConflict = 4
	// ExitUnavailable: a service of the platform cannot be reached.
	ExitUnavailable = 5
)

// DefaultListen is the address of the first proxy of a development system.
const DefaultListen = "127.0.0.1:16432"

// Options are the program's command-line arguments.
type Options struct {
	Proxy *ProxyOptions `arg:"subcommand:proxy" help:"run one proxy"`
	Dev   *DevOptions   `arg:"subcommand:dev" help:"run proxies and stand-ins in one process, to try things out"`
	Demo  *DemoOptions  `arg:"subcommand:demo" help:"run a client load with faults and check every promise"`
	Load  *LoadOptions  `arg:"subcommand:load" help:"measure one kind of statement through a proxy, or straight at a database"`
	Check *CheckOptions `arg:"subcommand:check" help:"check a base file and an overlay"`
	Show  *ShowOptions  `arg:"subcommand:show" help:"show the merged declaration and where each value comes from"`

	Plan     *PlanOptions     `arg:"subcommand:plan" help:"show what declared files would change"`
	Apply    *ApplyOptions    `arg:"subcommand:apply" help:"have declared files accepted at all sites"`
	History  *HistoryOptions  `arg:"subcommand:history" help:"list the accepted versions"`
	Rollback *RollbackOptions `arg:"subcommand:rollback" help:"accept the content of an earlier version anew"`
	Promote  *PromoteOptions  `arg:"subcommand:promote" help:"make another database of a group its primary"`
	Verifier *VerifierOptions `arg:"subcommand:verifier" help:"print a line of the users file for the password on standard input"`
	Status   *StatusOptions   `arg:"subcommand:status" help:"show which proxy runs on which version, and each group's primary"`

	LogLevel string `arg:"--log-level,env:OLEANDERFLOW_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

// ConfigOptions name the configuration files of one site: the base file and the
// site's overlay.
type ConfigOptions struct {
	Base    string `arg:"--base,required" placeholder:"FILE" help:"base file, shared by all sites"`
	Overlay string `arg:"--overlay" placeholder:"FILE" help:"overlay of the site, which changes only what differs"`
}

// BundleOptions name the configuration files of all sites: the base file and the
// overlays.
type BundleOptions struct {
	Base     string   `arg:"--base,required" placeholder:"FILE" help:"base file, shared by all sites"`
	Overlays []string `arg:"--overlay,separate" placeholder:"FILE" help:"overlay of a site (repeat for several)"`
}

// PlatformOptions are the addresses and credentials of the platform's services.
type PlatformOptions struct {
	Endpoint string `arg:"--platform-endpoint,env:OLEANDERFLOW_PLATFORM_ENDPOINT" placeholder:"URL" help:"table service and object store"`
	Region   string `arg:"--platform-region,env:OLEANDERFLOW_PLATFORM_REGION" default:"local" help:"region of the services"`
	Table    string `arg:"--platform-table,env:OLEANDERFLOW_PLATFORM_TABLE" default:"oleanderflow" help:"table that holds the accepted version and the promotions"`
	Bucket   string `arg:"--platform-bucket,env:OLEANDERFLOW_PLATFORM_BUCKET" default:"oleanderflow" help:"bucket that holds the content and the history of accepted versions"`
	KeyID    string `arg:"--,env:OLEANDERFLOW_PLATFORM_KEY_ID"`
	Secret   string `arg:"--,env:OLEANDERFLOW_PLATFORM_SECRET"`
}

// PlanOptions are the arguments of plan.
type PlanOptions struct {
	BundleOptions
	PlatformOptions
	JSON bool `arg:"--json" help:"print the plan as JSON"`
}

// ApplyOptions are the arguments of apply.
type ApplyOptions struct {
	BundleOptions
	PlatformOptions
	Onto     *uint64 `arg:"--onto,required" placeholder:"VERSION" help:"version that the change was planned on, as plan printed it"`
	Above    uint64  `arg:"--above" placeholder:"VERSION" help:"highest version in force, as status shows it, after the table was restored from an older copy"`
	ChangeID string  `arg:"--change-id" placeholder:"ID" help:"id of the change; repeat it to ask again after a lost answer"`
	By       string  `arg:"--by,env:USER" help:"who makes the change"`
	Note     string  `arg:"--note" help:"why"`
	JSON     bool    `arg:"--json" help:"print the accepted version as JSON"`
}

// HistoryOptions are the arguments of history.
type HistoryOptions struct {
	PlatformOptions
	Limit int  `arg:"--limit" default:"20" help:"how many versions to list"`
	JSON  bool `arg:"--json" help:"print the versions as JSON"`
}

// RollbackOptions are the arguments of rollback.
type RollbackOptions struct {
	PlatformOptions
	To       uint64  `arg:"positional,required" placeholder:"VERSION" help:"version whose content comes back, as a new version"`
	Onto     *uint64 `arg:"--onto" placeholder:"VERSION" help:"the accepted version, as the preview without --onto printed it"`
	Above    uint64  `arg:"--above" placeholder:"VERSION" help:"highest version in force, as status shows it, after the table was restored from an older copy"`
	ChangeID string  `arg:"--change-id" placeholder:"ID" help:"id of the change; repeat it to ask again after a lost answer"`
	By       string  `arg:"--by,env:USER" help:"who makes the change"`
	JSON     bool    `arg:"--json" help:"print the result as JSON"`
}

// PromoteOptions are the arguments of promote.
type PromoteOptions struct {
	Group      string `arg:"positional,required" placeholder:"GROUP" help:"the database group"`
	Database   string `arg:"positional" placeholder:"DATABASE" help:"the new primary; without it, the replica with the longest log"`
	Peer       string `arg:"--peer" default:"127.0.0.1:16442" placeholder:"IP:PORT" help:"where any proxy listens for others"`
	Force      bool   `arg:"--force" help:"do not wait for running writes; those that are not committed are refused"`
	AcceptLoss bool   `arg:"--accept-loss" help:"with --force, promote without a majority too; acknowledged writes may be lost"`
}

// VerifierOptions are the arguments of verifier.
type VerifierOptions struct {
	User string `arg:"positional,required" placeholder:"USER" help:"the user"`
}

// StatusOptions are the arguments of status.
type StatusOptions struct {
	Peer string `arg:"--peer" default:"127.0.0.1:16442" placeholder:"IP:PORT" help:"where any proxy listens for others"`
	JSON bool   `arg:"--json" help:"print the status as JSON"`
}

// ProxyOptions are the arguments of proxy.
type ProxyOptions struct {
	PlatformOptions
	Base       string   `arg:"--base" placeholder:"FILE" help:"base file, for a proxy that runs on files instead of accepted versions"`
	Overlay    string   `arg:"--overlay" placeholder:"FILE" help:"overlay of the site, with --base"`
	Site       string   `arg:"--site,env:OLEANDERFLOW_SITE" help:"site whose overlay is used, of the accepted versions"`
	List       string   `arg:"--list,env:OLEANDERFLOW_LIST" placeholder:"URL" help:"the platform's list of instances"`
	Name       string   `arg:"--name,required,env:OLEANDERFLOW_NAME" help:"the instance's name"`
	Zone       string   `arg:"--zone,required,env:OLEANDERFLOW_ZONE" help:"the instance's availability zone"`
	Listen     string   `arg:"--listen,env:OLEANDERFLOW_LISTEN" default:"127.0.0.1:16432" placeholder:"IP:PORT" help:"where callers connect"`
	PeerListen string   `arg:"--peer-listen,env:OLEANDERFLOW_PEER_LISTEN" default:"127.0.0.1:16442" placeholder:"IP:PORT" help:"where other proxies connect"`
	Metrics    string   `arg:"--metrics-listen,env:OLEANDERFLOW_METRICS_LISTEN" placeholder:"IP:PORT" help:"where metrics, health and readiness are served"`
	Peers      []string `arg:"--peer,separate" placeholder:"NAME,ZONE,IP:PORT" help:"another proxy (repeat for several)"`
	TLSCert    string   `arg:"--tls-cert" placeholder:"FILE" help:"certificate for callers, read anew when it changes"`
	TLSKey     string   `arg:"--tls-key" placeholder:"FILE" help:"key of the certificate"`
	TLSRequire bool     `arg:"--tls-require" help:"refuse callers that do not use TLS"`
	Secret     string   `arg:"--secret-file,env:OLEANDERFLOW_SECRET_FILE" placeholder:"FILE" help:"secret that all proxies share, to forward requests to each other"`
	Users      string   `arg:"--users" placeholder:"FILE" help:"users and SCRAM-SHA-256 verifiers; without it, callers are trusted, on loopback only"`
}

// DevOptions are the arguments of dev.
type DevOptions struct {
	Listen  string        `arg:"--listen" default:"127.0.0.1:16432" placeholder:"IP:PORT" help:"where the first proxy listens; the others take the ports after it"`
	Proxies int           `arg:"--proxies" default:"3" help:"how many proxies run, 0 for stand-ins only"`
	Lag     time.Duration `arg:"--lag" default:"0s" help:"how far the replicas lag behind"`
	Fault   *FaultOptions `arg:"subcommand:fault" help:"cause a fault in a running development system"`
}

// FaultOptions are the arguments of dev fault.
type FaultOptions struct {
	Group string `arg:"--group" default:"shop1" help:"the database group"`
	Kind  string `arg:"positional,required" placeholder:"KIND" help:"stopPrimary, partitionPrimary, lag=2s, heal, storeDown or storeUp"`
}

// DemoOptions are the arguments of demo.
type DemoOptions struct {
	Duration time.Duration `arg:"--duration" default:"20s" help:"how long the load runs"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the load"`
	JSON     bool          `arg:"--json" help:"print the results as JSON"`
	Sessions int           `arg:"--sessions" default:"12" help:"how many callers run at once"`
}

// LoadOptions are the arguments of load.
type LoadOptions struct {
	Target   string        `arg:"--target" default:"127.0.0.1:16432" placeholder:"IP:PORT" help:"proxy or database; only loopback addresses are accepted"`
	Group    string        `arg:"--group" default:"shop1" help:"the database group"`
	Sessions int           `arg:"--sessions" default:"1" help:"how many sessions run at once, at most 5000"`
	Duration time.Duration `arg:"--duration" default:"5s" help:"how long the load runs, at most 10m"`
	Prepared bool          `arg:"--prepared" help:"use prepared statements"`
	Writes   bool          `arg:"--writes" help:"update rows instead of reading them"`
	Tag      string        `arg:"--tag" help:"comment added to each statement, such as /*maxAge='2s'*/"`
	Idle     bool          `arg:"--idle" help:"hold sessions that send nothing"`
	JSON     bool          `arg:"--json" help:"print the result as JSON"`
}

func (o *LoadOptions) check() error {
	target, err := netip.ParseAddrPort(o.Target)
	if err != nil || !target.Addr().IsLoopback() {
		return &OptionError{Option: "--target", Value: o.Target, Expected: "a loopback address and port"}
	}
	if o.Sessions < 1 || o.Sessions > 5000 {
		return &OptionError{Option: "--sessions", Value: fmt.Sprint(o.Sessions), Expected: "1 to 5000"}
	}
	if o.Duration <= 0 || o.Duration > 10*time.Minute {
		return &OptionError{Option: "--duration", Value: o.Duration.String(), Expected: "up to 10m"}
	}
	return nil
}

// CheckOptions are the arguments of check.
type CheckOptions struct {
	ConfigOptions
	JSON bool `arg:"--json" help:"print the problems as JSON"`
}

// ShowOptions are the arguments of show.
type ShowOptions struct {
	ConfigOptions
	JSON bool `arg:"--json" help:"print the values as JSON"`
}

// Version implements arg.Versioned.
func (Options) Version() string { return "oleanderflow " + Version }

// Description implements arg.Described.
func (Options) Description() string {
	return "oleanderflow keeps callers' sessions consistent in front of groups of databases."
}

// Epilogue implements arg.Epilogued.
func (Options) Epilogue() string {
	return "Start with: oleanderflow dev, then psql -h 127.0.0.1 -p 16432 shop1"
}

// ParseOptions parses and checks the arguments. It exits the program after
// printing help or the version, and with ExitUsage if the arguments are invalid
// or name no command.
func ParseOptions(args []string) *Options {
	var o Options
	parser, err := arg.NewParser(arg.Config{Program: "oleanderflow", Exit: os.Exit}, &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oleanderflow:", err)
		os.Exit(ExitUsage)
	}
	parser.MustParse(args)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(ExitUsage)
	}
	if err := o.check(); err != nil {
		fmt.Fprintln(os.Stderr, "oleanderflow:", err)
		os.Exit(ExitUsage)
	}
	return &o
}

func (o *Options) check() error {
	switch {
	case o.Proxy != nil:
		if (o.Proxy.Base == "") == (o.Proxy.Endpoint == "") {
			return &OptionError{Option: "--base", Value: o.Proxy.Base, Expected: "either --base or --platform-endpoint"}
		}
		return checkAddresses(o.Proxy.Listen, o.Proxy.PeerListen, o.Proxy.Metrics)
	case o.Load != nil:
		return o.Load.check()
	case o.Promote != nil:
		if o.Promote.AcceptLoss && !o.Promote.Force {
			return &OptionError{Option: "--accept-loss", Value: "true", Expected: "--force as well"}
		}
		return checkAddresses(o.Promote.Peer)
	case o.Status != nil:
		return checkAddresses(o.Status.Peer)
	case o.Dev != nil:
		if o.Dev.Proxies < 0 || o.Dev.Proxies > maxDevProxies {
			return &OptionError{Option: "--proxies", Value: fmt.Sprint(o.Dev.Proxies), Expected: "0 to 9"}
		}
		return checkAddresses(o.Dev.Listen)
	case o.Demo != nil:
		if o.Demo.Duration < minDemoDuration {
			return &OptionError{Option: "--duration", Value: o.Demo.Duration.String(), Expected: "at least " + minDemoDuration.String()}
		}
		if o.Demo.Sessions < 1 || o.Demo.Sessions > 500 {
			return &OptionError{Option: "--sessions", Value: fmt.Sprint(o.Demo.Sessions), Expected: "1 to 500"}
		}
	}
	return nil
}

const (
	maxDevProxies   = 9
	minDemoDuration = 10 * time.Second
)

// OptionError reports an argument with an invalid value.
type OptionError struct {
	Option   string
	Value    string
	Expected string
}

func (e *OptionError) Error() string {
	return fmt.Sprintf("invalid %s %q; expected %s", e.Option, e.Value, e.Expected)
}

func checkAddresses(addresses ...string) error {
	for _, a := range addresses {
		if a == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			return &OptionError{Option: "address", Value: a, Expected: "an IP address and port such as 127.0.0.1:16432"}
		}
	}
	return nil
}
