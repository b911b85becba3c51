package front

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// The program's exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Options are the program's arguments.
type Options struct {
	Explain *ExplainOptions `arg:"subcommand:explain" help:"print what log files say of one request"`

	Settings string `arg:"--settings,env:OLEANDERFLOW_SETTINGS" placeholder:"FILE" help:"settings file; by default the one that the platform names"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
	LogLevel string `arg:"--log-level,env:OLEANDERFLOW_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

// Description implements the argument library's interface.
func (Options) Description() string {
	return "oleanderflow-front serves callers before the platform's databases."
}

const (
	// memoryShare is the part of the instance's memory that the garbage
	// collector may let the heap grow to.
	memoryShare = 0.5
	// collectorPercent is how far the heap may grow between two collections:
	// little, since memory costs more than the processor time of a small heap.
	collectorPercent = 60
)

// Connect returns the peers of an instance by its settings.
type Connect func(Settings) Platform

// Limits of the connections that Connect makes.
const (
	// WriteTimeout bounds the sending of one answer to a caller.
	WriteTimeout = 2 * clock.Second
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged.
	UnacknowledgedTimeout = 1500 * clock.Millisecond
)

// Run runs the program. defaultSettings names the settings file to use when
// the arguments name none.
func Run(defaultSettings string, connect Connect) int {
	// A signal that comes while the process starts must not end it.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var o Options
	arg.MustParse(&o)
	if o.Explain != nil {
		return explain(o.Explain, os.Stdout)
	}
	if o.Settings == "" {
		o.Settings = defaultSettings
	}
	settings, err := LoadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oleanderflow-front:", err)
		return exitUsage
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetGCPercent(collectorPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * memoryShare * (1 << 20)))
	}
	lines := NewLogWriter(os.Stdout)
	defer lines.Close()
	log, err := NewLog(lines, o.LogLevel, settings.Name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oleanderflow-front:", err)
		return exitUsage
	}
	return serve(o.Settings, settings, connect(settings), log, lines.Dropped, signals)
}

func serve(path string, settings Settings, peers Platform, log *zap.Logger, dropped func() uint64, signals <-chan os.Signal) int {
	f := New(settings, peers, clock.NewBoot(), log, NewMetrics())
	f.dropped = dropped
	log.Info("starting", zap.String("availabilityZone", settings.Zone), zap.String("callers", settings.CallerAddress))
	if err := f.Start(); err != nil {
		log.Error("not started", logs.Error(err))
		return exitFailed
	}
	if err := f.StartHTTP(); err != nil {
		log.Error("not started", logs.Error(err))
		return exitFailed
	}
	seen := modified(path)
	ticker := time.NewTicker(settingsEvery.Std())
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("signal", zap.Stringer("signal", s))
				f.Stop()
				return exitOK
			}
			reload(path, f)
			seen = modified(path)
		case <-ticker.C:
			if now := modified(path); now != seen {
				seen = now
				reload(path, f)
			}
		}
	}
}

// settingsEvery is the time between two looks whether the settings file has
// changed without a signal.
const settingsEvery = 2 * clock.Second

// modified returns when a file was last changed, zero if that is not known.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes in a changed settings file. One that is not valid changes
// nothing.
func reload(path string, f *Front) {
	settings, err := LoadSettings(path)
	if err != nil {
		f.log.Error("settings not reloaded", logs.Error(err))
		return
	}
	f.Reload(settings)
}
