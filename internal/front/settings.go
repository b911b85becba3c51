package front

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"

	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/field"
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
	// Default is what a process that starts uses in place of the value, empty if it
	// cannot start without a valid one.
	Default string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: expected %s", e.File, e.Section, e.Key, e.Value, e.Expected)
}

// LoadSettings reads and checks a settings file. It returns a *SettingsError
// for the first invalid value, and another error if the file cannot be read or
// parsed. Unknown keys are ignored, since newer platform versions write
// additional ones.
func LoadSettings(path string) (Settings, error) {
	s, invalid, err := readSettings(path)
	if err == nil && len(invalid) > 0 {
		err = invalid[0]
	}
	return s, err
}

// LoadStartSettings reads the settings of a process that starts, which has no earlier
// settings to keep. It replaces an invalid value by its default and returns the error of
// the value in invalid. It returns err if a value has no default, or the file cannot be
// read or parsed.
func LoadStartSettings(path string) (s Settings, invalid []*SettingsError, err error) {
	s, invalid, err = readSettings(path)
	for _, e := range invalid {
		if err == nil && e.Default == "" {
			err = e
		}
	}
	return s, invalid, err
}

// readSettings reads a settings file. It returns the errors of all invalid values, and
// an error if the file cannot be read or parsed.
func readSettings(path string) (Settings, []*SettingsError, error) {
	var s Settings
	if path == "" {
		return s, nil, errors.New("no settings file given; use --settings FILE")
	}
	if _, err := os.Stat(path); err != nil {
		return s, nil, errors.Wrap(err, "settings")
	}
	file, err := ini.Load(path)
	if err != nil {
		return s, nil, errors.Wrapf(err, "parse settings file %s", path)
	}
	r := settingsReader{path: path, file: file}
	s.Name = r.name("instance", "name")
	s.Zone = r.zone("instance", "availabilityZone")
	s.FirstStart = r.boolean("instance", "firstStart", false)
	s.MemoryMB = int(r.number("instance", "memoryMB", 0, maxNumber))
	s.FileDescriptors = int(r.number("instance", "fileDescriptors", 1024, maxNumber))
	s.ProcessorShare = r.number("instance", "processorShare", 0, maxNumber)
	s.ProcessorSpeed = r.number("instance", "processorSpeed", 1, maxNumber)
	s.PlaceByCapacity = r.boolean("placement", "byCapacity", false)
	s.ProbeReturned = r.boolean("databases", "probeReturned", false)
	s.CallerAddress = r.address("listen", "callers")
	s.ReadyAddress = r.address("listen", "ready")
	s.MetricsAddress = r.address("listen", "metrics")
	s.PeerAddress = r.address("listen", "peers")
	s.StoreAddress = r.address("platform", "store")
	s.PromotionAddress = r.address("platform", "promotions")
	s.ShutdownGrace = durationOfSeconds(r.number("shutdown", "graceSeconds", 6, maxNumber))
	s.DrainLimit = clock.Duration(r.number("drain", "limitMilliseconds", 7000, maxMilliseconds))
	// If it cannot be told whether revocation is strict, it has to be.
	if r.boolean("revocation", "strict", true) {
		s.RevocationLimit = r.revocationLimit()
	}
	s.Quota = r.quota()
	return s, r.invalid, nil
}

// defaultRevocationLimit is the limit where a settings file asks for one without naming
// it, in milliseconds.
const defaultRevocationLimit = 5000

// revocationLimit returns the limit of a settings file. Within less than the least limit,
// proofs would be too old before the next ones arrive, so that no limit can take the place
// of a lower one.
func (r *settingsReader) revocationLimit() clock.Duration {
	const section, key = "revocation", "limitMilliseconds"
	const least = freshness.MaxCalmAge + freshness.Margin
	k := r.file.Section(section).Key(key)
	if k.String() == "" {
		return defaultRevocationLimit
	}
	v, ok := parseNumber(k.String(), maxMilliseconds)
	if !ok || clock.Duration(v) < least {
		r.fail(section, key, k.String(), fmt.Sprintf("a number from %d", least), "")
	}
	return clock.Duration(v)
}

// settingsReader reads the values of a settings file and gathers the errors of those that
// are invalid.
type settingsReader struct {
	path    string
	file    *ini.File
	invalid []*SettingsError
}

func (r *settingsReader) fail(section, key, value, expected, defaultValue string) {
	r.invalid = append(r.invalid, &SettingsError{File: r.path, Section: section, Key: key, Value: value, Expected: expected, Default: defaultValue})
}

func (r *settingsReader) text(section, key string) string {
	v := r.file.Section(section).Key(key).String()
	if v == "" {
		r.fail(section, key, v, "a value", "")
	}
	return v
}

// maxNameLength is the maximum length of the name of an instance or a zone, in bytes. It is
// that of the store's keys.
const maxNameLength = 200

// name returns a name that is sent to databases and is a key of the store.
func (r *settingsReader) name(section, key string) string {
	v := r.text(section, key)
	if v != "" && (!field.IsValid(v) || !isShortText(v)) {
		r.fail(section, key, v, fmt.Sprintf("at most %d bytes of UTF-8 without blanks and control characters", maxNameLength), "")
	}
	return v
}

func (r *settingsReader) zone(section, key string) string {
	v := r.text(section, key)
	if strings.ContainsFunc(v, unicode.IsControl) || !isShortText(v) {
		r.fail(section, key, v, fmt.Sprintf("at most %d bytes of UTF-8 without control characters", maxNameLength), "")
	}
	return v
}

func isShortText(v string) bool { return utf8.ValidString(v) && len(v) <= maxNameLength }

func (r *settingsReader) address(section, key string) string {
	v := r.text(section, key)
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fail(section, key, v, "IP:PORT", "")
	}
	return v
}

// boolean returns whether a key is true. It is false if the key is missing, and unclear if
// it is invalid.
func (r *settingsReader) boolean(section, key string, unclear bool) bool {
	k := r.file.Section(section).Key(key)
	if k.String() == "" {
		return false
	}
	v, err := k.Bool()
	if err != nil {
		r.fail(section, key, k.String(), "true or false", strconv.FormatBool(unclear))
		return unclear
	}
	return v
}

// quota returns the quota of workspaces. Keys that are missing have the product's
// defaults.
func (r *settingsReader) quota() workspace.Quota {
	const section, window = "quota", "windowSeconds"
	q := workspace.DefaultQuota()
	usual := q.Window
	if q.Window = durationOfSeconds(r.number(section, window, seconds(usual), maxNumber)); q.Window <= 0 {
		r.fail(section, window, r.file.Section(section).Key(window).String(), "a number from 0.001", formatNumber(seconds(usual)))
		q.Window = usual
	}
	q.Overshoot = r.number(section, "overshoot", q.Overshoot, maxNumber)
	q.Slack = r.number(section, "slack", q.Slack, maxNumber)
	return q
}

// maxNumber is the largest value of a setting, and maxMilliseconds that of one in
// milliseconds.
const (
	maxNumber       = 1e6
	maxMilliseconds = 1e9
)

// number returns the value of a key, which may have a fraction.
func (r *settingsReader) number(section, key string, defaultValue, maxValue float64) float64 {
	k := r.file.Section(section).Key(key)
	if k.String() == "" {
		return defaultValue
	}
	v, ok := parseNumber(k.String(), maxValue)
	if !ok {
		r.fail(section, key, k.String(), "a number from 0 to "+formatNumber(maxValue), formatNumber(defaultValue))
		return defaultValue
	}
	return v
}

// parseNumber parses a number from 0 to maxValue.
func parseNumber(text string, maxValue float64) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && v <= maxValue
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func seconds(d clock.Duration) float64 { return d.Std().Seconds() }

// durationOfSeconds returns a number of seconds, rounded down to milliseconds.
func durationOfSeconds(s float64) clock.Duration {
	return clock.Duration(s * float64(clock.Second))
}
