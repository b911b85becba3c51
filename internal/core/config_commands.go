package core

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// loadConfig reads the base file and the overlay, merges them and checks the
// result. It returns an *operator.InvalidError if the configuration is invalid.
func (o ConfigOptions) loadConfig() (*operator.Configuration, *operator.Document, error) {
	base, err := os.ReadFile(o.Base)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the base file")
	}
	var overlay []byte
	if o.Overlay != "" {
		if overlay, err = os.ReadFile(o.Overlay); err != nil {
			return nil, nil, errors.Wrap(err, "read the overlay")
		}
	}
	return operator.Load(o.Base, base, o.Overlay, overlay)
}

func runCheck(o *CheckOptions) int {
	config, _, err := o.loadConfig()
	var invalid *operator.InvalidError
	if o.JSON && (err == nil || errors.As(err, &invalid)) {
		return printCheckResult(newCheckResult(invalid))
	}
	if err != nil {
		return fail(err)
	}
	fmt.Printf("ok: site %q, %d database groups, %d declared reads\n", config.Site, len(config.Groups), len(config.ReadRules))
	return ExitOK
}

// CheckResult is the JSON output of the check command.
type CheckResult struct {
	OK       bool               `json:"ok"`
	Problems []operator.Problem `json:"problems"`
}

func newCheckResult(invalid *operator.InvalidError) CheckResult {
	if invalid == nil {
		return CheckResult{OK: true, Problems: []operator.Problem{}}
	}
	return CheckResult{Problems: invalid.Problems}
}

// printCheckResult prints a result as JSON and returns the exit code for it.
func printCheckResult(result CheckResult) int {
	if err := encodeJSON(result); err != nil {
		return fail(err)
	}
	if !result.OK {
		return ExitUsage
	}
	return ExitOK
}

func encodeJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func runShow(o *ShowOptions) int {
	_, merged, err := o.loadConfig()
	if err != nil {
		return fail(err)
	}
	if o.JSON {
		if err := encodeJSON(merged); err != nil {
			return fail(err)
		}
		return ExitOK
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, s := range merged.Sections {
		fmt.Fprintf(table, "[%s]\t\t\n", s.Name)
		for _, v := range s.Values {
			fmt.Fprintf(table, "  %s\t= %s\t%s\n", v.Key, v.Text, v.Source)
		}
	}
	if err := table.Flush(); err != nil {
		return fail(err)
	}
	return ExitOK
}
