// Package promotion defines the platform service that promotes databases.
package promotion

import (
	"context"

	"github.com/go-faster/errors"
)

// Request names the database that is to become the primary of its group.
type Request struct {
	Group    string
	Database string
	// Holder is the instance that sends the request. It must hold a lease on
	// replacing the group's primary.
	Holder string
	// Token is the fencing token of the lease. It is higher than the tokens of
	// all earlier holders.
	Token uint64
}

// ErrNotRunning reports that a database cannot be promoted because it is not
// running.
var ErrNotRunning = errors.New("the database is not running")

// Service is the platform's promotion service.
type Service interface {
	// Promote makes a database the primary of its group. It returns
	// ErrNotRunning if the database cannot be promoted. After any other error
	// the promotion may have taken effect.
	Promote(ctx context.Context, r Request) error
}
