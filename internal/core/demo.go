package core

import (
	"context"

	"go.uber.org/zap"
)

func runDemo(context.Context, *DemoOptions, *zap.Logger) int { return ExitFailed }
