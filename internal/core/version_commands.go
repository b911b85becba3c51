package core

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
)

// history returns the version history in the platform's table and object store.
func (o PlatformOptions) history() *versionplatform.History {
	config := o.awsConfig()
	return versionplatform.NewHistory(platform.NewDynamoTable(config), platform.NewS3Objects(config))
}

func (o PlatformOptions) awsConfig() platform.AWSConfig {
	return platform.AWSConfig{
		Endpoint: o.Endpoint, Region: o.Region, KeyID: o.KeyID, Secret: o.Secret, Table: o.Table, Bucket: o.Bucket,
	}
}

// readBundle reads the base file and the overlays into a bundle and checks it. It
// names the files without their directory, so that the same files give the same
// bundle on every machine.
func (b BundleOptions) readBundle() (operator.Bundle, error) {
	base, err := readFile(b.Base)
	if err != nil {
		return operator.Bundle{}, errors.Wrap(err, "read the base file")
	}
	bundle := operator.Bundle{Base: base}
	for _, name := range b.Overlays {
		overlay, err := readFile(name)
		if err != nil {
			return operator.Bundle{}, errors.Wrap(err, "read an overlay")
		}
		bundle.Overlays = append(bundle.Overlays, overlay)
	}
	return bundle, bundle.Check()
}

func readFile(name string) (operator.File, error) {
	content, err := os.ReadFile(name)
	return operator.File{Name: filepath.Base(name), Text: string(content)}, err
}

// Plan lists the differences that a change would make to version Onto.
type Plan struct {
	Onto        uint64                `json:"onto"`
	Differences []operator.Difference `json:"differences"`
}

func runPlan(ctx context.Context, o *PlanOptions) int {
	bundle, err := o.readBundle()
	if err != nil {
		return fail(err)
	}
	plan, err := makePlan(ctx, o.history(), bundle)
	if err != nil {
		return fail(err)
	}
	if o.JSON {
		return printJSON(plan)
	}
	printDifferences(plan.Differences)
	if len(plan.Differences) == 0 {
		fmt.Printf("no change to version %d\n", plan.Onto)
		return ExitOK
	}
	fmt.Printf("to have it accepted: oleanderflow apply --onto %d with the same files\n", plan.Onto)
	return ExitOK
}

func makePlan(ctx context.Context, h *versionplatform.History, next operator.Bundle) (Plan, error) {
	head, err := h.Head(ctx)
	if err != nil {
		return Plan{}, err
	}
	current, err := h.Bundle(ctx, head)
	if err != nil {
		return Plan{}, err
	}
	differences, err := operator.Compare(current, next)
	if differences == nil {
		differences = []operator.Difference{}
	}
	return Plan{Onto: head.Version, Differences: differences}, err
}

func printJSON(v any) int {
	if err := encodeJSON(v); err != nil {
		return fail(err)
	}
	return ExitOK
}

func printDifferences(differences []operator.Difference) {
	for _, d := range differences {
		location := d.File + " [" + d.Section + "]"
		switch {
		case d.Key == "" && d.Before == "" && d.After == "":
			fmt.Println("~", location)
		case d.Before == "":
			fmt.Printf("+ %s %s = %s\n", location, d.Key, d.After)
		case d.After == "":
			fmt.Printf("- %s %s = %s\n", location, d.Key, d.Before)
		default:
			fmt.Printf("~ %s %s: %s -> %s\n", location, d.Key, d.Before, d.After)
		}
	}
}

func runApply(ctx context.Context, o *ApplyOptions) int {
	bundle, err := o.readBundle()
	if err != nil {
		return fail(err)
	}
	return applyChange(ctx, o.history(), versionplatform.Change{
		ID: changeID(o.ChangeID), Bundle: bundle, Onto: *o.Onto, Above: o.Above, By: o.By, Note: o.Note,
	}, o.JSON)
}

// changeID returns id, or a new random ID if id is empty.
func changeID(id string) string {
	if id != "" {
		return id
	}
	return rand.Text()
}

// applyChange submits a change to the version history, prints the outcome and
// returns the exit code. If no answer arrives, the change may have been accepted;
// repeating it with the same ID is safe.
func applyChange(ctx context.Context, h *versionplatform.History, c versionplatform.Change, asJSON bool) int {
	c.At = time.Now().UTC().Format(time.RFC3339)
	head, err := h.Apply(ctx, c)
	var stale *versionplatform.StalePlanError
	var unavailable *platform.UnavailableError
	switch {
	case errors.As(err, &stale):
		printDifferences(stale.Differences)
		return fail(err)
	case errors.As(err, &unavailable):
		code := fail(err)
		fmt.Fprintf(os.Stderr, "it is not known whether the change was accepted; run the command again with --change-id %s\n", c.ID)
		return code
	case err != nil:
		return fail(err)
	case asJSON:
		return printJSON(head)
	}
	fmt.Printf("accepted as version %d (change %s)\n", head.Version, head.ChangeID)
	return ExitOK
}

func runHistory(ctx context.Context, o *HistoryOptions) int {
	h := o.history()
	head, err := h.Head(ctx)
	if err != nil {
		return fail(err)
	}
	records := []versionplatform.Record{}
	for r, err := range h.Records(ctx, head) {
		if err != nil {
			return fail(err)
		}
		if len(records) >= o.Limit {
			break
		}
		records = append(records, r)
	}
	if o.JSON {
		return printJSON(records)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "version\taccepted\tby\tchange\tnote")
	for _, r := range records {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", r.Version, r.At, r.By, r.ChangeID, r.Note)
	}
	if err := table.Flush(); err != nil {
		return fail(err)
	}
	return ExitOK
}

// UnknownVersionError reports a version that is not in the history.
type UnknownVersionError struct{ Version uint64 }

func (e *UnknownVersionError) Error() string {
	return fmt.Sprintf("version %d was never accepted", e.Version)
}

func runRollback(ctx context.Context, o *RollbackOptions) int {
	h := o.history()
	head, err := h.Head(ctx)
	if err != nil {
		return fail(err)
	}
	target, err := findBundle(ctx, h, head, o.To)
	if err != nil {
		return fail(err)
	}
	if o.Onto == nil {
		return previewRollback(ctx, h, target, o)
	}
	return applyChange(ctx, h, versionplatform.Change{
		ID: changeID(o.ChangeID), Bundle: target, Onto: *o.Onto, Above: o.Above, By: o.By, Note: fmt.Sprintf("rollback to version %d", o.To),
	}, o.JSON)
}

func findBundle(ctx context.Context, h *versionplatform.History, head versionplatform.Head, version uint64) (operator.Bundle, error) {
	for r, err := range h.Records(ctx, head) {
		if err != nil {
			return operator.Bundle{}, err
		}
		if r.Version == version {
			return h.Bundle(ctx, r.Head)
		}
	}
	return operator.Bundle{}, &UnknownVersionError{Version: version}
}

func previewRollback(ctx context.Context, h *versionplatform.History, target operator.Bundle, o *RollbackOptions) int {
	plan, err := makePlan(ctx, h, target)
	if err != nil {
		return fail(err)
	}
	if o.JSON {
		return printJSON(plan)
	}
	printDifferences(plan.Differences)
	fmt.Printf("to have it accepted: oleanderflow rollback %d --onto %d\n", o.To, plan.Onto)
	return ExitOK
}
