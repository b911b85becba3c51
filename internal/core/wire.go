//go:build wireinject

package core

import (
	"github.com/google/wire"

	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// initializeComponents builds the components of a proxy.
func initializeComponents() *components {
	wire.Build(
		clock.NewSystem, wire.Bind(new(clock.Clock), new(*clock.System)),
		dbprocess.NewSequence, newControlWorkers, dbprocess.NewTickScheduler, NewMetrics,
		wire.Struct(new(components), "*"),
	)
	return nil
}
