package core

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionplatform "github.com/oleanderflow/oleanderflow/internal/version/platform"
)

// Run runs the command that the options select and returns the program's exit
// code. SIGTERM and SIGINT end the command.
func Run(o *Options) int {
	log, err := newLogger(o.LogLevel)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case o.Proxy != nil:
		return runProxy(ctx, o.Proxy, log)
	case o.Dev != nil && o.Dev.Fault != nil:
		return runFault(ctx, o.Dev)
	case o.Dev != nil:
		return runDev(ctx, o.Dev, log)
	case o.Demo != nil:
		return runDemo(ctx, o, log)
	case o.Load != nil:
		return runLoad(ctx, o.Load)
	case o.Check != nil:
		return runCheck(o.Check)
	case o.Show != nil:
		return runShow(o.Show)
	}
	return runOperatorCommand(ctx, o)
}

// runOperatorCommand runs the commands for operators, most of which connect to
// the platform or to a running proxy.
func runOperatorCommand(ctx context.Context, o *Options) int {
	switch {
	case o.Plan != nil:
		return runPlan(ctx, o.Plan)
	case o.Apply != nil:
		return runApply(ctx, o.Apply)
	case o.History != nil:
		return runHistory(ctx, o.History)
	case o.Rollback != nil:
		return runRollback(ctx, o.Rollback)
	case o.Promote != nil:
		return runPromote(ctx, o.Promote)
	case o.Verifier != nil:
		return runVerifier(os.Stdin, o.Verifier)
	case o.Status != nil:
		return runStatus(ctx, o.Status)
	}
	return ExitUsage
}

// fail prints an error to standard error and returns the exit code for it.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "oleanderflow:", err)
	var invalid *operator.InvalidError
	var option *OptionError
	var stale *versionplatform.StalePlanError
	var unavailable *platform.UnavailableError
	switch {
	case errors.As(err, &invalid), errors.As(err, &option):
		return ExitUsage
	case errors.As(err, &stale):
		return ExitConflict
	case errors.As(err, &unavailable):
		return ExitUnavailable
	}
	return ExitFailed
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &OptionError{Option: "--log-level", Value: level, Expected: "debug, info, warn or error"}
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(os.Stderr), parsed)
	return zap.New(core), nil
}
