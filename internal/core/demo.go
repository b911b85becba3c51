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
	// demoProgressInterval is the time between two progress lines.
	demoProgressInterval = 2 * time.Second
	// demoSessionPause is the time between two requests of a session.
	demoSessionPause = 2 * time.Millisecond
	// demoHealDelay is the time between the end of one fault and the start of
	// the next.
	demoHealDelay = time.Second
)

// DemoResult is the outcome of a demo run, and its JSON output.
type DemoResult struct {
	caller.Report
	ReplicaReads   int64   `json:"replicaReads"`
	PrimaryReads   int64   `json:"primaryReads"`
	ReplicaShare   float64 `json:"replicaShare"`
	GuaranteesHeld bool    `json:"held"`
	FaultsCaused   int     `json:"faultsCaused"`
	GapsMeasured   int     `json:"gapsMeasured"`
	SecondsOfLoad  float64 `json:"secondsOfLoad"`
}

// RunDemo runs a client load on a development system with three proxies, stops
// the primary once and partitions it once, and then checks the recorded answers
// against the databases.
func RunDemo(ctx context.Context, o *DemoOptions, log *zap.Logger, progress func(string)) (*DemoResult, error) {
	d, err := NewDev(DevSettings{Listen: netip.MustParseAddrPort("127.0.0.1:0"), EphemeralPorts: true, Proxies: 3, ReplicationDelay: 500 * time.Microsecond}, log)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if err := d.AwaitReady(ctx); err != nil {
		return nil, err
	}
	settings := caller.Settings{Group: devGroup, Sessions: o.Sessions, Seed: o.Seed, Pause: demoSessionPause}
	for _, p := range d.Proxies {
		settings.Addresses = append(settings.Addresses, p.Address())
	}
	load, err := caller.Start(ctx, settings)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	faults := injectFaults(ctx, d, load, o.Duration, progress)
	report, err := load.Stop(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "compare the recorded answers with the databases")
	}
	result := &DemoResult{Report: report, FaultsCaused: faults, GapsMeasured: len(report.FailoverGaps), SecondsOfLoad: time.Since(start).Seconds()}
	result.countReads(d)
	result.GuaranteesHeld = result.allGuaranteesHeld()
	return result, nil
}

// injectFaults stops the primary after a quarter of the total time and heals the
// databases after half of it. After another demoHealDelay it partitions the new
// primary, and heals the databases again a quarter of the total time later. It
// returns the number of faults.
func injectFaults(ctx context.Context, d *Dev, load *caller.Load, total time.Duration, progress func(string)) int {
	faults := 0
	inject := func(description string, fault func()) {
		progress(description)
		faults++
		load.NoteFault()
		fault()
	}
	wait(ctx, load, total/4, progress)
	inject("stopping the primary", func() { d.Group.Primary().Stop() })
	wait(ctx, load, total/4, progress)
	healDatabases(d, progress)
	wait(ctx, load, demoHealDelay, progress)
	inject("partitioning the primary, which goes on answering its own zone", func() { d.Group.Primary().Partition() })
	wait(ctx, load, total/4, progress)
	healDatabases(d, progress)
	wait(ctx, load, total/4-demoHealDelay, progress)
	return faults
}

func healDatabases(d *Dev, progress func(string)) {
	progress("healing")
	for _, database := range d.Group.Databases {
		database.Heal()
	}
}

// wait reports progress until d has passed or ctx is done.
func wait(ctx context.Context, load *caller.Load, d time.Duration, progress func(string)) {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(min(demoProgressInterval, time.Until(deadline)))
		progress(fmt.Sprintf("%d statements", load.Statements()))
	}
}

func (r *DemoResult) countReads(d *Dev) {
	for _, p := range d.Proxies {
		replica, primary := p.metrics.BoundedStalenessReads()
		r.ReplicaReads += replica
		r.PrimaryReads += primary
	}
	if total := r.ReplicaReads + r.PrimaryReads; total > 0 {
		r.ReplicaShare = float64(r.ReplicaReads) / float64(total)
	}
}

// allGuaranteesHeld reports whether every guarantee was checked and none was
// violated, and whether every fault led to a measured failover gap. Unchecked
// guarantees are accepted if no request was refused or no outcome was unknown.
func (r *DemoResult) allGuaranteesHeld() bool {
	for _, p := range r.Guarantees {
		if p.Broken > 0 || p.Checked == 0 {
			// Guarantees about refused requests or unknown outcomes cannot be
			// checked in a run without any.
			if p.Broken == 0 && (r.Counts.Refused == 0 || r.Counts.Unknown == 0) {
				continue
			}
			return false
		}
	}
	return r.GapsMeasured == r.FaultsCaused
}

func runDemo(ctx context.Context, options *Options, log *zap.Logger) int {
	o := options.Demo
	if options.LogLevel != "debug" {
		// Routing decisions are logged for each request and would hide the
		// progress lines.
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
	if !result.GuaranteesHeld {
		return ExitViolation
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
