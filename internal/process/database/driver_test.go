package database

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// refusingOperations refuse each change of the term and answer no status.
type refusingOperations struct{}

var errNoStatus = errors.New("connection lost")

func (refusingOperations) Status(context.Context) (Status, error) { return Status{}, errNoStatus }

func (refusingOperations) Fence(context.Context, uint64, string) (Status, error) {
	return Status{}, &RefusedError{Operation: "fence", Message: "term 7 was seen"}
}

func (refusingOperations) Promote(context.Context, uint64, string) (Status, error) {
	return Status{}, &RefusedError{Operation: "promote", Message: "term 7 was seen"}
}

func (refusingOperations) Follow(context.Context, uint64, string) (Status, error) {
	return Status{}, errNoStatus
}

func (refusingOperations) Close() error { return nil }

type noMessenger struct{}

func (noMessenger) ShareOpinion(string, Opinion)           {}
func (noMessenger) AnnouncePrimary(string, uint64, string) {}

// A database that refuses an operation and then does not tell its status keeps
// the status that is known of it. An empty one would make it a database without
// a role and a log.
func TestRefusalWithoutStatusKeepsTheKnownStatus(t *testing.T) {
	workers := NewWorkers(1)
	defer workers.Close()
	operations := []Operations{refusingOperations{}, refusingOperations{}, refusingOperations{}}
	members := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	monitor := NewMonitor(MonitorSettings{Group: "shop", Members: members}, clock.NewSystem(), NewSequence(), workers, operations, zap.NewNop())
	self := Watcher{Name: "self", Zone: "z"}
	failover := NewFailover(3, self, []Watcher{self}, DefaultFailoverSettings(), rand.New(rand.NewPCG(1, 2)))
	d := NewFailoverDriver(monitor, failover, operations, "self", noMessenger{}, zap.NewNop())
	d.SetWatchers([]Watcher{self})
	known := Status{Role: RoleReplica, Term: 6, Fenced: 6, Received: position.Position{Term: 6, Offset: 9}}
	failover.HandleReport(monitor.clock.Now(), Report{Database: 1, Status: known}, nil)
	d.fence(Fence{Database: 1, Term: 7})
	require.Equal(t, known, failover.views[1].status)
	d.promote(Promote{Database: 1, Term: 7})
	require.Equal(t, known, failover.views[1].status)
}
