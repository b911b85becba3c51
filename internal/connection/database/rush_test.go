package database_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/database"
	"github.com/oleanderflow/oleanderflow/internal/standin/virtual"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	rushConnections = 12
	rushService     = 4 * time.Millisecond
	rushLength      = 20 * time.Second
	rushQueue       = 256
	// bookingLoad is the part of the capacity that bookings use.
	bookingLoad     = 0.2
	bookingDeadline = 2 * clock.Second
	pullDeadline    = 200 * clock.Millisecond
)

// The classes of the rush.
const (
	bookings = iota
	pulls
)

type rushRequest struct {
	class    int
	began    time.Duration
	deadline time.Duration
}

// rush is one proxy's connections to one database under load.
type rush struct {
	world     *virtual.World
	admission *database.Admission
	queues    [3][]rushRequest
	// fifo serves in order of arrival, without classes and refusals.
	fifo bool
	// pullService is the average time of one stock pull.
	pullService time.Duration
	order       []rushRequest
	busy        int
	done        [2]int
	refused     [2]int
	bookings    []time.Duration
}

func newRush(fifo bool, reserved int, pullService time.Duration) *rush {
	classes := []database.Class{{Name: "bookings", Reserved: reserved}, {Name: "stock"}, {Name: "other"}}
	return &rush{
		world: virtual.NewWorld(1, virtual.Network{}), fifo: fifo, pullService: pullService,
		admission: database.NewAdmission(rushConnections, rushQueue, classes),
	}
}

// offer keeps requests of a class coming at a part of the capacity.
func (r *rush) offer(class int, load float64) {
	if load <= 0 {
		return
	}
	interval := float64(r.average(class)) / (rushConnections * load)
	r.world.After(time.Duration(r.world.Rand.ExpFloat64()*interval), func() {
		deadline := bookingDeadline
		if class == pulls {
			deadline = pullDeadline
		}
		q := rushRequest{class: class, began: r.world.Elapsed(), deadline: r.world.Elapsed() + deadline.Std()}
		if r.fifo {
			r.order = append(r.order, q)
			r.serveFIFO()
		} else {
			r.ask(q, deadline)
		}
		r.offer(class, load)
	})
}

func (r *rush) ask(q rushRequest, left clock.Duration) {
	if len(r.queues[q.class]) == 0 && r.admission.Admits(q.class) {
		r.start(q)
		return
	}
	if !r.admission.Enqueue(q.class, left) {
		r.refused[q.class]++
		return
	}
	r.queues[q.class] = append(r.queues[q.class], q)
	r.world.After(left.Std(), func() { r.expire(q) })
}

// expire refuses a request that has waited until its deadline.
func (r *rush) expire(q rushRequest) {
	if at := slices.Index(r.queues[q.class], q); at >= 0 {
		r.queues[q.class] = slices.Delete(r.queues[q.class], at, at+1)
		r.admission.Dequeue(q.class)
		r.refused[q.class]++
	}
}

func (r *rush) start(q rushRequest) {
	r.admission.Acquire(q.class)
	began := r.world.Elapsed()
	r.world.After(r.service(q.class), func() {
		r.finish(q)
		r.admission.Release(q.class, clock.FromStd(r.world.Elapsed()-began))
		for class := r.admission.Next(); class >= 0; class = r.admission.Next() {
			next := r.queues[class][0]
			r.queues[class] = r.queues[class][1:]
			r.admission.Dequeue(class)
			r.start(next)
		}
	})
}

func (r *rush) average(class int) time.Duration {
	if class == pulls {
		return r.pullService
	}
	return rushService
}

func (r *rush) service(class int) time.Duration {
	return time.Duration(r.world.Rand.ExpFloat64() * float64(r.average(class)))
}

func (r *rush) serveFIFO() {
	for r.busy < rushConnections && len(r.order) > 0 {
		q := r.order[0]
		r.order = r.order[1:]
		r.busy++
		r.world.After(r.service(q.class), func() {
			r.finish(q)
			r.busy--
			r.serveFIFO()
		})
	}
}

// finish counts an answer, which is of use only before its deadline.
func (r *rush) finish(q rushRequest) {
	if r.world.Elapsed() <= q.deadline {
		r.done[q.class]++
	}
	if q.class == bookings {
		r.bookings = append(r.bookings, r.world.Elapsed()-q.began)
	}
}

type rushResult struct {
	goodput    float64
	bookingP99 time.Duration
	refused    int
}

// runRush offers bookings at a fixed load and stock pulls up to a total, as
// parts of the capacity.
func runRush(fifo bool, reserved int, total float64, pullService time.Duration) rushResult {
	r := newRush(fifo, reserved, pullService)
	r.offer(bookings, min(bookingLoad, total))
	r.offer(pulls, total-bookingLoad)
	r.world.Run(rushLength, nil)
	slices.Sort(r.bookings)
	return rushResult{
		goodput:    float64(r.done[bookings]+r.done[pulls]) / rushLength.Seconds(),
		bookingP99: r.bookings[len(r.bookings)*99/100], refused: r.refused[pulls] + r.refused[bookings],
	}
}

// TestHarvestRush offers up to four times the capacity. The goodput must
// stay near its peak and bookings must keep their latency.
func TestHarvestRush(t *testing.T) {
	unloaded := runRush(false, 0, bookingLoad, rushService).bookingP99
	var peak, last float64
	for _, load := range []float64{0.5, 1, 2, 4} {
		ordered := runRush(false, 0, load, rushService)
		reserved := runRush(false, 40, load, rushService)
		arrival := runRush(true, 0, load, rushService)
		peak, last = max(peak, ordered.goodput), ordered.goodput
		t.Logf("load %.1f: by class %s; and 40%% reserved %s; in order of arrival %s", load, ordered, reserved, arrival)
		require.LessOrEqual(t, ordered.bookingP99, unloaded*3/2)
	}
	require.GreaterOrEqual(t, last, 0.95*peak)
}

// Long pulls hold connections that an order cannot take back. Only reserved
// connections keep the bookings' latency then.
func TestLongPullsNeedAReserve(t *testing.T) {
	const longPull = 100 * time.Millisecond
	unloaded := runRush(false, 40, bookingLoad, longPull).bookingP99
	for _, load := range []float64{1, 4} {
		ordered := runRush(false, 0, load, longPull)
		reserved := runRush(false, 40, load, longPull)
		t.Logf("load %.1f: by class %s; and 40%% reserved %s; unloaded p99 %v", load, ordered, reserved, unloaded.Round(100*time.Microsecond))
		require.LessOrEqual(t, reserved.bookingP99, unloaded*3/2)
	}
}

func (r rushResult) String() string {
	return fmt.Sprintf("%.0f/s, bookings p99 %v, refused %d", r.goodput, r.bookingP99.Round(100*time.Microsecond), r.refused)
}

func TestReservedConnectionsStayForTheirClass(t *testing.T) {
	a := database.NewAdmission(10, 5, []database.Class{{Name: "bookings", Reserved: 40}, {Name: "other"}})
	for range 6 {
		require.True(t, a.Admits(1))
		a.Acquire(1)
	}
	require.False(t, a.Admits(1), "the reserved connections are kept free")
	for range 4 {
		require.True(t, a.Admits(0))
		a.Acquire(0)
	}
	require.False(t, a.Admits(0))
}

func TestQueueRefusesWhatCannotBeServedInTime(t *testing.T) {
	a := database.NewAdmission(2, 100, []database.Class{{Name: "other"}})
	for range 200 {
		a.Acquire(0)
		a.Release(0, 50)
	}
	admitted := 0
	for a.Enqueue(0, 500*clock.Millisecond) {
		admitted++
	}
	require.InDelta(t, 20, admitted, 2, "two connections serve one request each 50 ms")
}
