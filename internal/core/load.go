package core

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/standin/caller"
)

func runLoad(ctx context.Context, o *LoadOptions) int {
	if o.Idle {
		return runIdle(ctx, o)
	}
	if err := caller.CreateBenchRows(ctx, o.Target, o.Group); err != nil {
		return fail(errors.Wrap(err, "prepare the load"))
	}
	result, err := caller.Bench(ctx, caller.BenchSettings{
		Address: o.Target, Group: o.Group, Sessions: o.Sessions, Duration: o.Duration,
		Prepared: o.Prepared, Writes: o.Writes, Tag: o.Tag,
	})
	if err != nil {
		return fail(errors.Wrap(err, "run the load"))
	}
	if o.JSON {
		return printJSON(result)
	}
	fmt.Printf("%d statements, %.0f a second, p50 %v, p99 %v, worst %v, errors %d %s\n",
		result.Statements, result.PerSecond, result.P50, result.P99, result.Worst, result.Errors, result.FirstError)
	return ExitOK
}

func runIdle(ctx context.Context, o *LoadOptions) int {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	err := caller.Idle(ctx, o.Target, o.Group, o.Sessions, func() { fmt.Println("ready:", o.Sessions, "idle sessions") })
	if err != nil {
		return fail(errors.Wrap(err, "hold idle sessions"))
	}
	return ExitOK
}
