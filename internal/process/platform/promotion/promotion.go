// Package promotion provides what the proxy needs of the platform to replace
// a primary.
package promotion

import (
	"context"

	"github.com/go-faster/errors"
)

// Request names the database that is to lead its group.
type Request struct {
	Group    string
	Database string
	// Holder is the instance that gives the order.
	Holder string
	// Token grows with every holder, over all of them.
	Token uint64
}

// ErrNotRunning tells that the database cannot be promoted.
var ErrNotRunning = errors.New("the database is not running")

// Service carries orders out.
type Service interface {
	Promote(ctx context.Context, o Request) error
}
