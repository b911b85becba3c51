package core

import (
	dbprocess "github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// controlWorkers is how many control tasks, such as probes, platform requests and
// messages to other proxies, may run at once.
const controlWorkers = 48

// components are the objects that live as long as a proxy. wire.go lists their
// constructors.
type components struct {
	clock     clock.Clock
	sequence  *dbprocess.Sequence
	workers   *dbprocess.Workers
	scheduler *dbprocess.TickScheduler
	metrics   *Metrics
}

func newControlWorkers() *dbprocess.Workers { return dbprocess.NewWorkers(controlWorkers) }

// close stops each component before those that it uses.
func (c *components) close() {
	c.scheduler.Close()
	c.workers.Close()
	c.metrics.Close()
}
