package core

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/standin/caller"
)

const (
	demoProgress = 2 * time.Second
	demoPause    = 2 * time.Millisecond
	// demoSettle is how long after a fault is healed the next may follow.
	demoSettle = time.Second
)

// DemoResult is the outcome of a demonstration.
type DemoResult struct {
	caller.Report
	ReplicaReads  int64   `json:"replicaReads"`
	PrimaryReads  int64   `json:"primaryReads"`
	ReplicaShare  float64 `json:"replicaShare"`
	Held          bool    `json:"held"`
	FaultsCaused  int     `json:"faultsCaused"`
	GapsMeasured  int     `json:"gapsMeasured"`
	SecondsOfLoad float64 `json:"secondsOfLoad"`
}

// RunDemo runs the harvest rush on a development system, loses its primary
// once and partitions it once.
func RunDemo(ctx context.Context, o *DemoOptions, log *zap.Logger, progress func(string)) (*DemoResult, error) {
	d, err := NewDev(DevSettings{Listen: netip.MustParseAddrPort("127.0.0.1:0"), AnyPorts: true, Proxies: 3, ReplicationDelay: 500 * time.Microsecond}, log)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.AwaitReady(ctx); err != nil {
		return nil, err
	}
	settings := caller.Settings{Group: devGroup, Sessions: o.Sessions, Seed: o.Seed, Pause: demoPause}
	for _, p := range d.Proxies {
		settings.Addresses = append(settings.Addresses, p.Address())
	}
	load, err := caller.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	faults := causeFaults(ctx, d, load, o.Duration, progress)
	report, err := load.Stop(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "compare the load's record")
	}
	result := &DemoResult{Report: report, FaultsCaused: faults, GapsMeasured: len(report.FailoverGaps), SecondsOfLoad: time.Since(began).Seconds()}
	result.countReads(d)
	result.Held = result.held()
	return result, nil
}

// causeFaults stops the primary after a quarter of the time and partitions
// its successor after a half. Each is healed within the next quarter.
func causeFaults(ctx context.Context, d *Dev, load *caller.Load, total time.Duration, progress func(string)) int {
	faults := 0
	lose := func(what string, fault func()) {
		progress(what)
		faults++
		load.NoteFault()
		fault()
	}
	wait(ctx, load, total/4, progress)
	lose("stopping the primary", func() { d.Group.Primary().Stop() })
	wait(ctx, load, total/4, progress)
	heal(d, progress)
	wait(ctx, load, demoSettle, progress)
	lose("partitioning the primary, which goes on answering its own zone", func() { d.Group.Primary().Partition() })
	wait(ctx, load, total/4, progress)
	heal(d, progress)
	wait(ctx, load, total/4-demoSettle, progress)
	return faults
}

func heal(d *Dev, progress func(string)) {
	progress("healing")
	for _, database := range d.Group.Databases {
		database.Heal()
	}
}

// wait reports progress until d has passed.
func wait(ctx context.Context, load *caller.Load, d time.Duration, progress func(string)) {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(min(demoProgress, time.Until(deadline)))
		progress(fmt.Sprintf("%d statements", load.Statements()))
	}
}

func (r *DemoResult) countReads(d *Dev) {
	for _, p := range d.Proxies {
		replica, primary := p.metrics.DeclaredReads()
		r.ReplicaReads += replica
		r.PrimaryReads += primary
	}
	if total := r.ReplicaReads + r.PrimaryReads; total > 0 {
		r.ReplicaShare = float64(r.ReplicaReads) / float64(total)
	}
}

func (r *DemoResult) held() bool {
	for _, p := range r.Guarantees {
		if p.Broken > 0 || p.Checked == 0 {
			// A request need not end refused or unknown in every run.
			if p.Broken == 0 && (r.Counts.Refused == 0 || r.Counts.Unknown == 0) {
				continue
			}
			return false
		}
	}
	return r.GapsMeasured == r.FaultsCaused
}

func runDemo(ctx context.Context, all *Options, log *zap.Logger) int {
	o := all.Demo
	if all.LogLevel != "debug" {
		// The decisions would drown the progress.
		log = zap.NewNop()
	}
	progress := func(line string) {
		if !o.JSON {
			fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.000"), line)
		}
	}
	result, err := RunDemo(ctx, o, log, progress)
	if err != nil {
		return fail(err)
	}
	if o.JSON {
		err = encodeJSON(result)
	} else {
		err = result.print()
	}
	if err != nil {
		return fail(err)
	}
	if !result.Held {
		return ExitBroken
	}
	return ExitOK
}

func (r *DemoResult) print() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintf(table, "\nstatements\t%d in %.1f s\n", r.Counts.Statements, r.SecondsOfLoad)
	fmt.Fprintf(table, "writes, reads\t%d, %d\n", r.Counts.Writes, r.Counts.Reads)
	fmt.Fprintf(table, "refused, unknown\t%d, %d\n", r.Counts.Refused, r.Counts.Unknown)
	fmt.Fprintf(table, "declared reads served by replicas\t%.1f%% of %d\n", 100*r.ReplicaShare, r.ReplicaReads+r.PrimaryReads)
	for i, gap := range r.FailoverGaps {
		fmt.Fprintf(table, "failover gap %d\t%d ms\n", i+1, gap.Milliseconds())
	}
	fmt.Fprintf(table, "\npromise\tchecked\tbroken\n")
	for _, p := range r.Guarantees {
		fmt.Fprintf(table, "%s\t%d\t%d\n", p.Name, p.Checked, p.Broken)
		if p.Example != "" {
			fmt.Fprintf(table, "  first: %s\t\t\n", p.Example)
		}
	}
	return table.Flush()
}
