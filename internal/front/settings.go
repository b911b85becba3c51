package front

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Settings holds the settings of an instance. The addresses have the form
// IP:PORT.
type Settings struct {
	Name             string
	Zone             string
	CallerAddress    string
	ReadyAddress     string
	MetricsAddress   string
	PeerAddress      string
	StoreAddress     string
	PromotionAddress string
	// FirstStart is set when the whole system starts for the first time, so that
	// no other instance is registered yet.
	FirstStart bool
	// MemoryMB is the memory of the instance in units of 1<<20 bytes, zero if
	// unknown.
	MemoryMB int
	// FileDescriptors is the maximum number of open connections and files, zero
	// if unknown. It bounds the sessions of callers, see maxSessions.
	FileDescriptors int
	// ProcessorShare is the part of a core that the instance has, and ProcessorSpeed
	// how fast that core is compared with others. ProcessorShare is zero if unknown.
	ProcessorShare, ProcessorSpeed float64
	// PlaceByCapacity is set if roles such as homes and relays go to instances by
	// their capacity. Otherwise all instances count as equal.
	PlaceByCapacity bool
	// ProbeReturned is set if a database that has started or come back is probed before
	// it gets its usual load.
	ProbeReturned bool
	// ShutdownGrace is the time from the stop signal until the process is
	// killed.
	ShutdownGrace clock.Duration
	// DrainLimit is how long a database may get requests after it has announced
	// that it is leaving.
	DrainLimit clock.Duration
	// RevocationLimit is the time within which a key that the configuration no longer
	// holds must have stopped working at every proxy, connected to the store or not.
	// Zero if that is not required.
	RevocationLimit clock.Duration
	// Quota states how many operations of a workspace may arrive at databases.
	Quota workspace.Quota
}

// SettingsError reports an invalid value in a settings file.
type SettingsError struct {
	File, Section, Key, Value, Expected string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: expected %s", e.File, e.Section, e.Key, e.Value, e.Expected)
}

// LoadSettings reads and checks a settings file. It returns a *SettingsError
// for the first invalid value, and another error if the file cannot be read or
// parsed. Unknown keys are ignored, since newer platform versions write
// additional ones.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if path == "" {
		return s, errors.New("no settings file given; use --settings FILE")
	}
	if _, err := os.Stat(path); err != nil {
		return s, errors.Wrap(err, "settings")
	}
	file, err := ini.Load(path)
	if err != nil {
		return s, errors.Wrapf(err, "parse settings file %s", path)
	}
	r := settingsReader{path: path, file: file}
	s.Name = r.text("instance", "name")
	s.Zone = r.text("instance", "availabilityZone")
	s.FirstStart = r.boolean("instance", "firstStart")
	s.MemoryMB = r.number("instance", "memoryMB", 0)
	s.FileDescriptors = r.number("instance", "fileDescriptors", 1024)
	s.ProcessorShare = r.decimal("instance", "processorShare", 0)
	s.ProcessorSpeed = r.decimal("instance", "processorSpeed", 1)
	s.PlaceByCapacity = r.boolean("placement", "byCapacity")
	s.ProbeReturned = r.boolean("databases", "probeReturned")
	s.CallerAddress = r.address("listen", "callers")
	s.ReadyAddress = r.address("listen", "ready")
	s.MetricsAddress = r.address("listen", "metrics")
	s.PeerAddress = r.address("listen", "peers")
	s.StoreAddress = r.address("platform", "store")
	s.PromotionAddress = r.address("platform", "promotions")
	s.ShutdownGrace = clock.Duration(r.number("shutdown", "graceSeconds", 6)) * clock.Second
	s.DrainLimit = clock.Duration(r.number("drain", "limitMilliseconds", 7000))
	if r.boolean("revocation", "strict") {
		s.RevocationLimit = r.revocationLimit()
	}
	s.Quota = r.quota()
	return s, r.err
}

// defaultRevocationLimit is the limit where a settings file asks for one without naming
// it, in milliseconds.
const defaultRevocationLimit = 5000

// revocationLimit returns the limit of a settings file. Within less than the least limit,
// proofs would be too old before the next ones arrive.
func (r *settingsReader) revocationLimit() clock.Duration {
	const section, key = "revocation", "limitMilliseconds"
	limit := clock.Duration(r.number(section, key, defaultRevocationLimit))
	if least := freshness.MaxCalmAge + freshness.Margin; limit < least {
		r.fail(section, key, r.file.Section(section).Key(key).String(), fmt.Sprintf("a whole number from %d", least))
	}
	return limit
}

type settingsReader struct {
	path string
	file *ini.File
	err  error
}

func (r *settingsReader) fail(section, key, value, expected string) {
	if r.err == nil {
		r.err = &SettingsError{File: r.path, Section: section, Key: key, Value: value, Expected: expected}
	}
}

func (r *settingsReader) text(section, key string) string {
	v := r.file.Section(section).Key(key).String()
	if v == "" {
		r.fail(section, key, v, "a value")
	}
	return v
}

func (r *settingsReader) address(section, key string) string {
	v := r.text(section, key)
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fail(section, key, v, "IP:PORT")
	}
	return v
}

// boolean returns whether a key is true. It is false if the key is missing.
func (r *settingsReader) boolean(section, key string) bool {
	k := r.file.Section(section).Key(key)
	if k.String() == "" {
		return false
	}
	v, err := k.Bool()
	if err != nil {
		r.fail(section, key, k.String(), "true or false")
	}
	return v
}

// quota returns the quota of workspaces. Keys that are missing have the product's
// defaults.
func (r *settingsReader) quota() workspace.Quota {
	q := workspace.DefaultQuota()
	if s := r.decimal("quota", "windowSeconds", seconds(q.Window)); s > 0 {
		q.Window = clock.FromStd(time.Duration(s * float64(time.Second)))
	} else {
		r.fail("quota", "windowSeconds", fmt.Sprint(s), "a number above 0")
	}
	q.Overshoot = r.decimal("quota", "overshoot", q.Overshoot)
	q.Slack = r.decimal("quota", "slack", q.Slack)
	return q
}

// maxDecimal is the largest value of a setting with decimals.
const maxDecimal = 1e6

func (r *settingsReader) decimal(section, key string, defaultValue float64) float64 {
	k := r.file.Section(section).Key(key)
	if k.String() == "" {
		return defaultValue
	}
	v, err := k.Float64()
	if err != nil || !(v >= 0 && v <= maxDecimal) {
		r.fail(section, key, k.String(), "a number from 0")
		return defaultValue
	}
	return v
}

func seconds(d clock.Duration) float64 { return d.Std().Seconds() }

func (r *settingsReader) number(section, key string, defaultValue int) int {
	k := r.file.Section(section).Key(key)
	if k.String() == "" {
		return defaultValue
	}
	n, err := k.Int()
	if err != nil || n < 0 {
		r.fail(section, key, k.String(), "a whole number from 0")
	}
	return n
}
