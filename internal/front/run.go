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

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Options holds the command-line arguments and environment variables.
type Options struct {
	Explain      *ExplainOptions      `arg:"subcommand:explain" help:"print what log files say of one request"`
	ExplainRoute *ExplainRouteOptions `arg:"subcommand:explain-route" help:"ask a running proxy where a request would go now, and why"`

	Settings string `arg:"--settings,env:OLEANDERFLOW_SETTINGS" placeholder:"FILE" help:"settings file; by default the one that the platform names"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
	LogLevel string `arg:"--log-level,env:OLEANDERFLOW_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`
}

// Description returns the text at the head of the program's help. It implements
// arg.Described.
func (Options) Description() string {
	return "oleanderflow-front serves callers before the platform's databases."
}

const (
	// heapMemoryShare is the share of the instance's memory that is set as the
	// memory limit of the Go runtime.
	heapMemoryShare = 0.5
	// gcPercent is the garbage collector's target percentage. It is low because
	// memory costs more than the processor time for collecting a small heap.
	gcPercent = 60
)

// Connect returns the platform clients for the given settings.
type Connect func(Settings) Platform

// Timeouts of the connections that Connect sets up.
const (
	// WriteTimeout is the timeout for sending one answer to a caller.
	WriteTimeout = 2 * clock.Second
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged.
	UnacknowledgedTimeout = 1500 * clock.Millisecond
)

// Run runs the program and returns its exit code. defaultSettings is the path
// of the settings file that is used if the arguments name none.
func Run(defaultSettings string, connect Connect) int {
	// Signals that arrive during the start must not end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if namesKey(os.Args[1:]) {
		fmt.Fprintln(os.Stderr, "oleanderflow-front:", errKeyParameter)
		return exitUsage
	}
	var o Options
	arg.MustParse(&o)
	if o.Explain != nil {
		return explain(o.Explain, os.Stdout)
	}
	if o.ExplainRoute != nil {
		return explainRoute(o.ExplainRoute, os.Stdout, os.Stderr)
	}
	if o.Settings == "" {
		o.Settings = defaultSettings
	}
	settings, invalid, err := LoadStartSettings(o.Settings)
	if o.Check && err == nil && len(invalid) > 0 {
		err = invalid[0]
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "oleanderflow-front:", err)
		return exitUsage
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB) * heapMemoryShare * (1 << 20)))
	}
	lines := NewLogWriter(os.Stdout)
	defer lines.Close()
	log, err := NewLog(lines, o.LogLevel, settings.Name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "oleanderflow-front:", err)
		return exitUsage
	}
	for _, e := range invalid {
		log.Error("invalid setting, default used", zap.String("section", e.Section), zap.String("key", e.Key), zap.String("default", e.Default), logs.Error(e))
	}
	return serve(o.Settings, settings, connect(settings), log, lines.Dropped, signals)
}

func serve(path string, settings Settings, p Platform, log *zap.Logger, dropped func() uint64, signals <-chan os.Signal) int {
	f := New(settings, p, clock.NewBoot(), log, NewMetrics())
	f.droppedLines = dropped
	log.Info("starting", zap.String("availabilityZone", settings.Zone), zap.String("callers", settings.CallerAddress))
	if err := f.Start(); err != nil {
		log.Error("start failed", logs.Error(err))
		return exitFailed
	}
	if err := f.StartHTTP(); err != nil {
		log.Error("start failed", logs.Error(err))
		return exitFailed
	}
	seen := modTime(path)
	ticker := time.NewTicker(settingsPollInterval.Std())
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
			seen = modTime(path)
		case <-ticker.C:
			if now := modTime(path); now != seen {
				seen = now
				reload(path, f)
			}
		}
	}
}

// settingsPollInterval is the time between two checks whether the settings file
// has changed without a signal.
const settingsPollInterval = 2 * clock.Second

// modTime returns the modification time of a file, or the zero time if it is
// not known.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies a changed settings file. An invalid file changes nothing.
func reload(path string, f *Front) {
	settings, err := LoadSettings(path)
	if err != nil {
		f.log.Error("reload settings failed", logs.Error(err))
		return
	}
	f.Reload(settings)
}
