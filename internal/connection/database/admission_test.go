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
	overloadConnections = 12
	// overloadService is the mean service time of a booking.
	overloadService  = 4 * time.Millisecond
	overloadDuration = 20 * time.Second
	overloadMaxQueue = 256
	// bookingLoad is the fraction of the capacity that bookings use.
	bookingLoad     = 0.2
	bookingDeadline = 2 * clock.Second
	pullDeadline    = 200 * clock.Millisecond
)

// Indexes of the request classes in the overload simulation.
const (
	bookings = iota
	pulls
)

type overloadRequest struct {
	class     int
	arrivedAt time.Duration
	deadline  time.Duration
}

// overload simulates one proxy's connections to one database under load.
type overload struct {
	world     *virtual.World
	admission *database.Admission
	queues    [3][]overloadRequest
	// fifo serves requests in order of arrival, without classes or refusals.
	fifo bool
	// pullService is the mean service time of a stock pull.
	pullService time.Duration
	fifoQueue   []overloadRequest
	busy        int
	// done counts the requests of each class answered before their deadline.
	done             [2]int
	refused          [2]int
	bookingLatencies []time.Duration
}

func newOverload(fifo bool, reserved int, pullService time.Duration) *overload {
	classes := []database.Class{{Name: "bookings", Reserved: reserved}, {Name: "stock"}, {Name: "other"}}
	return &overload{
		world: virtual.NewWorld(1, virtual.Network{}), fifo: fifo, pullService: pullService,
		admission: database.NewAdmission(overloadConnections, overloadMaxQueue, classes),
	}
}

// offer generates requests of a class at random intervals. The load is a
// fraction of the capacity.
func (r *overload) offer(class int, load float64) {
	if load <= 0 {
		return
	}
	interval := float64(r.meanService(class)) / (overloadConnections * load)
	r.world.After(time.Duration(r.world.Rand.ExpFloat64()*interval), func() {
		deadline := bookingDeadline
		if class == pulls {
			deadline = pullDeadline
		}
		q := overloadRequest{class: class, arrivedAt: r.world.Elapsed(), deadline: r.world.Elapsed() + deadline.Std()}
		if r.fifo {
			r.fifoQueue = append(r.fifoQueue, q)
			r.serveFIFO()
		} else {
			r.submit(q, deadline)
		}
		r.offer(class, load)
	})
}

// submit starts, queues or refuses a request, as admission decides.
func (r *overload) submit(q overloadRequest, left clock.Duration) {
	if len(r.queues[q.class]) == 0 && r.admission.Admits(q.class) {
		r.start(q)
		return
	}
	if !r.admission.Enqueue(q.class, 0, left) {
		r.refused[q.class]++
		return
	}
	r.queues[q.class] = append(r.queues[q.class], q)
	r.world.After(left.Std(), func() { r.expire(q) })
}

// expire refuses a request that still waits at its deadline.
func (r *overload) expire(q overloadRequest) {
	if i := slices.Index(r.queues[q.class], q); i >= 0 {
		r.queues[q.class] = slices.Delete(r.queues[q.class], i, i+1)
		r.admission.Dequeue(q.class)
		r.refused[q.class]++
	}
}

func (r *overload) start(q overloadRequest) {
	r.admission.Acquire(q.class)
	began := r.world.Elapsed()
	r.world.After(r.randomService(q.class), func() {
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

func (r *overload) meanService(class int) time.Duration {
	if class == pulls {
		return r.pullService
	}
	return overloadService
}

func (r *overload) randomService(class int) time.Duration {
	return time.Duration(r.world.Rand.ExpFloat64() * float64(r.meanService(class)))
}

func (r *overload) serveFIFO() {
	for r.busy < overloadConnections && len(r.fifoQueue) > 0 {
		q := r.fifoQueue[0]
		r.fifoQueue = r.fifoQueue[1:]
		r.busy++
		r.world.After(r.randomService(q.class), func() {
			r.finish(q)
			r.busy--
			r.serveFIFO()
		})
	}
}

// finish records an answer. Only answers before the deadline count as goodput.
func (r *overload) finish(q overloadRequest) {
	if r.world.Elapsed() <= q.deadline {
		r.done[q.class]++
	}
	if q.class == bookings {
		r.bookingLatencies = append(r.bookingLatencies, r.world.Elapsed()-q.arrivedAt)
	}
}

type overloadResult struct {
	// goodput is the number of answers before their deadline, per second.
	goodput    float64
	bookingP99 time.Duration
	refused    int
}

// runOverload runs bookings at a fixed load and stock pulls that bring the
// load up to total. Loads are fractions of the capacity.
func runOverload(fifo bool, reserved int, total float64, pullService time.Duration) overloadResult {
	r := newOverload(fifo, reserved, pullService)
	r.offer(bookings, min(bookingLoad, total))
	r.offer(pulls, total-bookingLoad)
	r.world.Run(overloadDuration, nil)
	slices.Sort(r.bookingLatencies)
	return overloadResult{
		goodput:    float64(r.done[bookings]+r.done[pulls]) / overloadDuration.Seconds(),
		bookingP99: r.bookingLatencies[len(r.bookingLatencies)*99/100], refused: r.refused[pulls] + r.refused[bookings],
	}
}

// TestGoodputUnderOverload applies a load of up to four times the capacity. The
// goodput at the highest load must be at least 95% of its peak. The p99 latency
// of bookings, the class that is served first, must not exceed 1.5 times its
// value without stock pulls.
func TestGoodputUnderOverload(t *testing.T) {
	unloaded := runOverload(false, 0, bookingLoad, overloadService).bookingP99
	var peak, last float64
	for _, load := range []float64{0.5, 1, 2, 4} {
		byClass := runOverload(false, 0, load, overloadService)
		reserved := runOverload(false, 40, load, overloadService)
		fifo := runOverload(true, 0, load, overloadService)
		peak, last = max(peak, byClass.goodput), byClass.goodput
		t.Logf("load %.1f: by class: %s; by class with 40%% reserved: %s; in order of arrival: %s", load, byClass, reserved, fifo)
		require.LessOrEqual(t, byClass.bookingP99, unloaded*3/2)
	}
	require.GreaterOrEqual(t, last, 0.95*peak)
}

// TestReservedConnectionsProtectFromLongPulls guards against long stock pulls
// that occupy all connections. Serving bookings first does not help then, since
// a running pull is not interrupted; only reserved connections keep the latency
// of bookings low.
func TestReservedConnectionsProtectFromLongPulls(t *testing.T) {
	const longPull = 100 * time.Millisecond
	unloaded := runOverload(false, 40, bookingLoad, longPull).bookingP99
	for _, load := range []float64{1, 4} {
		byClass := runOverload(false, 0, load, longPull)
		reserved := runOverload(false, 40, load, longPull)
		t.Logf("load %.1f: by class: %s; by class with 40%% reserved: %s; unloaded p99 %v", load, byClass, reserved, unloaded.Round(100*time.Microsecond))
		require.LessOrEqual(t, reserved.bookingP99, unloaded*3/2)
	}
}

func (r overloadResult) String() string {
	return fmt.Sprintf("%.0f/s, bookings p99 %v, refused %d", r.goodput, r.bookingP99.Round(100*time.Microsecond), r.refused)
}

func TestReservedConnectionsAreKeptForTheirClass(t *testing.T) {
	a := database.NewAdmission(10, 5, []database.Class{{Name: "bookings", Reserved: 40}, {Name: "other"}})
	for range 6 {
		require.True(t, a.Admits(1))
		a.Acquire(1)
	}
	require.False(t, a.Admits(1), "the class other was admitted to a connection that is reserved for bookings")
	for range 4 {
		require.True(t, a.Admits(0))
		a.Acquire(0)
	}
	require.False(t, a.Admits(0))
}

func TestEnqueueRefusesRequestsThatWouldMissTheirDeadline(t *testing.T) {
	a := database.NewAdmission(2, 100, []database.Class{{Name: "other"}})
	for range 200 {
		a.Acquire(0)
		a.Release(0, 50)
	}
	queued := 0
	for a.Enqueue(0, 0, 500*clock.Millisecond) {
		queued++
	}
	require.InDelta(t, 20, queued, 2, "two connections should serve 20 requests of 50 ms in 500 ms")
}
