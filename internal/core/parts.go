package core

import (
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// controlWorkers is how many control tasks run at once.
const controlWorkers = 48

// parts are what lives as long as a proxy, wired in wire.go.
type components struct {
	clock    clock.Clock
	sequence *dbprocess.Sequence
	workers  *dbprocess.Workers
	registry *dbprocess.Registry
	metrics  *Metrics
}

func newControlWorkers() *dbprocess.Workers { return dbprocess.NewWorkers(controlWorkers) }

// close ends the parts in the order in which they use each other.
func (p *components) close() {
	p.registry.Close()
	p.workers.Close()
	p.metrics.Close()
}
