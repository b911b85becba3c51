package front

import (
	"context"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// timers is a clock that also waits, so that the waits can run in virtual time.
type timers interface {
	clock.Clock
	// WaitOrTimeout waits until ch is closed or receives a value, or d has
	// passed. It reports whether ch was first.
	WaitOrTimeout(ch <-chan struct{}, d clock.Duration) bool
	// WithTimeout returns a context that ends after d.
	WithTimeout(d clock.Duration) (context.Context, context.CancelFunc)
}

// systemTimers waits in real time.
type systemTimers struct{ clock.Clock }

// WaitOrTimeout implements timers.
func (systemTimers) WaitOrTimeout(ch <-chan struct{}, d clock.Duration) bool {
	return backend.WaitOrTimeout(ch, d)
}

// WithTimeout implements timers.
func (systemTimers) WithTimeout(d clock.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d.Std())
}
