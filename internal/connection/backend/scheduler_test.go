package backend

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// measuredScheduler returns a scheduler that has measured the given times, so that
// it refuses by estimate.
func measuredScheduler(p Policy, between, took clock.Duration) *Scheduler {
	s := &Scheduler{policy: p}
	for range minMeasurements {
		s.estimate.between.observe(float64(between))
		s.estimate.took.observe(float64(took))
	}
	s.estimate.measuredAt = 1000
	return s
}

// ofSite returns a request of a class of site A.
func ofSite(now clock.Time, class int, workspace string) Request {
	k := siteA[class]
	deadline := now.Add(k.deadline)
	return Request{Class: class, Workspace: workspace, Arrived: now, Target: now.Add(k.target), Deadline: deadline, Until: deadline}
}

// add adds a request that must not be refused at once, and returns its ID.
func add(t *testing.T, s *Scheduler, now clock.Time, r Request) uint64 {
	t.Helper()
	id, refused := s.Arrive(now, r)
	require.Empty(t, refused)
	return id
}

// drain returns the IDs in the order of service.
func drain(s *Scheduler, now clock.Time) []uint64 {
	var ids []uint64
	for s.Len() > 0 {
		id, _ := s.Next(now)
		ids = append(ids, id)
	}
	return ids
}

// Deployments without workspaces keep their order: by class, and in a queue that
// persists the newest first.
func TestByArrivalServesNewestFirstInAPersistentQueue(t *testing.T) {
	fill := func() *Scheduler {
		s := &Scheduler{}
		for _, class := range []int{2, 1, 1, 2} {
			add(t, s, 1000, request(class, 1000, 5000))
		}
		return s
	}
	require.Equal(t, []uint64{2, 3, 1, 4}, drain(fill(), 1099))
	require.Equal(t, []uint64{3, 2, 4, 1}, drain(fill(), 1100))
}

// Without workspaces, a full queue refuses whatever arrives, as it always has.
func TestByArrivalRefusesArrivalsAtAFullQueue(t *testing.T) {
	s := &Scheduler{}
	for range maxWaiting {
		add(t, s, 1000, request(1, 1000, 5000))
	}
	id, refused := s.Arrive(1000, request(0, 1000, 5000))
	require.Len(t, refused, 1)
	require.Equal(t, id, refused[0].ID)
	require.Equal(t, QueueFull, refused[0].Err.Reason)
	require.Equal(t, maxWaiting, refused[0].Err.Waiting)
	require.Positive(t, refused[0].Err.Retry)
}

func TestByShareOrdersByClassThenPriorityOfTheWorkspace(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	low := ofSite(1000, 1, "low")
	low.WorkspacePriority = 1
	second := add(t, s, 1000, low)
	third := add(t, s, 1000, ofSite(1000, 2, "high"))
	first := add(t, s, 1000, ofSite(1000, 1, "high"))
	require.Equal(t, []uint64{first, second, third}, drain(s, 1000))
}

// A workspace that sends much waits behind itself, not in front of others.
func TestByShareAlternatesBetweenWorkspaces(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	for range 4 {
		add(t, s, 1000, ofSite(1000, 1, "much"))
	}
	add(t, s, 1000, ofSite(1000, 1, "little"))
	require.Equal(t, []uint64{1, 5, 2, 3, 4}, drain(s, 1000))
}

func TestByShareFollowsWeights(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	for _, weight := range []float64{3, 1} {
		for range 6 {
			r := ofSite(1000, 1, strconv.FormatFloat(weight, 'g', -1, 64))
			r.Weight = weight
			add(t, s, 1000, r)
		}
	}
	large := 0
	for _, id := range drain(s, 1000)[:8] {
		if id <= 6 {
			large++
		}
	}
	require.Equal(t, 6, large)
}

// A workspace that has sent nothing while others waited must not get all slots
// until it has caught up.
func TestIdleWorkspaceGainsNoCredit(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	for range 30 {
		add(t, s, 1000, ofSite(1000, 1, "busy"))
	}
	for range 20 {
		s.Next(1000)
	}
	for range 10 {
		add(t, s, 1000, ofSite(1000, 1, "new"))
	}
	newcomers := 0
	for _, id := range drain(s, 1000)[:10] {
		if id > 30 {
			newcomers++
		}
	}
	require.InDelta(t, 5, newcomers, 1)
}

// What is late anyway must not make others late.
func TestRequestsThatCanMeetTheirTargetGoFirst(t *testing.T) {
	s := measuredScheduler(ByShare{}, 1, 20)
	add(t, s, 1000, ofSite(1000, 1, "a"))
	add(t, s, 1010, ofSite(1010, 1, "a"))
	add(t, s, 1290, ofSite(1290, 1, "a"))
	add(t, s, 1300, ofSite(1300, 1, "a"))
	require.Equal(t, []uint64{3, 4, 2, 1}, drain(s, 1301))
}

// Late requests of an urgent class must not make those of other classes late too.
func TestLateRequestsFollowThoseOfOtherClasses(t *testing.T) {
	s := measuredScheduler(ByShare{}, 1, 20)
	late := add(t, s, 1000, ofSite(1000, 0, "a"))
	inTime := add(t, s, 1090, ofSite(1090, 2, "b"))
	require.Equal(t, []uint64{inTime, late}, drain(s, 1090))
}

// The urgent requests of one workspace must not take all slots from the less urgent
// ones of another. The other must not get them all either.
func TestWorkspaceAheadOfItsShareLetsOthersGoFirst(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	for range 30 {
		add(t, s, 1000, ofSite(1000, 0, "much"))
	}
	little := add(t, s, 1000, ofSite(1000, 2, "little"))
	for range maxAhead + 1 {
		id, _ := s.Next(1000)
		require.NotEqual(t, little, id, "classes come first within the share")
	}
	id, _ := s.Next(1000)
	require.Equal(t, little, id)
}

// A less urgent request must not wait for as long as more urgent ones arrive.
func TestWaitingRequestMovesUpByOneClass(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	old := add(t, s, 1000, ofSite(1000, 2, "a"))
	s.learnClass(0)
	for range 20 {
		add(t, s, 1299, ofSite(1299, 1, "a"))
	}
	order := func(now clock.Time) int {
		s.sort(now)
		for i, w := range s.waiting {
			if w.id == old {
				return i
			}
		}
		return -1
	}
	require.Equal(t, 20, order(1299))
	require.LessOrEqual(t, order(1300), promotedDivisor)
	urgent := add(t, s, 1300, ofSite(1300, 0, "a"))
	id, _ := s.Next(1300)
	require.Equal(t, urgent, id, "two classes up")
}

// An urgent arrival must not be refused for less urgent requests, and the one that
// gives way must not wait for its timeout.
func TestUrgentArrivalDisplacesTheLastRequest(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	for range maxWaitingShared {
		add(t, s, 1000, ofSite(1000, 2, "a"))
	}
	_, refused := s.Arrive(1000, ofSite(1000, 0, "a"))
	require.Len(t, refused, 1)
	require.Equal(t, uint64(maxWaitingShared), refused[0].ID)
	require.Equal(t, Displaced, refused[0].Err.Reason)
	require.Positive(t, refused[0].Err.Retry)
	require.Equal(t, maxWaitingShared, s.Len())
	id, refused := s.Arrive(1000, ofSite(1000, 2, "a"))
	require.Len(t, refused, 1)
	require.Equal(t, id, refused[0].ID, "the least urgent is the arrival itself")
	require.Equal(t, QueueFull, refused[0].Err.Reason)
}

// A request that waits in vain keeps its caller from trying elsewhere.
func TestHopelessArrivalIsRefusedAtOnce(t *testing.T) {
	for _, p := range []Policy{ByArrival{}, ByShare{}} {
		s := measuredScheduler(p, 100, 20)
		for range 9 {
			add(t, s, 1000, ofSite(1000, 0, "a"))
		}
		id, refused := s.Arrive(1000, ofSite(1000, 0, "a"))
		require.Len(t, refused, 1)
		require.Equal(t, id, refused[0].ID)
		require.Equal(t, DeadlineUnreachable, refused[0].Err.Reason)
		require.GreaterOrEqual(t, refused[0].Err.Retry, 900*clock.Millisecond)
	}
}

// The wait for a primary is shorter than the deadline. A request that cannot get its
// slot within that is refused at once where workspaces are declared; elsewhere it
// waits, as it always has.
func TestRequestThatMayNotWaitLongEnoughIsRefused(t *testing.T) {
	for _, p := range []Policy{ByArrival{}, ByShare{}} {
		s := measuredScheduler(p, 20, 20)
		for range 10 {
			add(t, s, 1000, ofSite(1000, 0, "a"))
		}
		r := ofSite(1000, 0, "a")
		r.Until = 1100
		_, refused := s.Arrive(1000, r)
		if p == (ByArrival{}) {
			require.Empty(t, refused)
			continue
		}
		require.Len(t, refused, 1)
		require.Equal(t, DeadlineUnreachable, refused[0].Err.Reason)
		require.GreaterOrEqual(t, refused[0].Err.Retry, 200*clock.Millisecond)
	}
}

// Before anything is measured, an estimate would be a guess.
func TestNothingIsRefusedByEstimateBeforeAMeasurement(t *testing.T) {
	s := &Scheduler{policy: ByShare{}}
	for range maxWaitingShared {
		add(t, s, 1000, ofSite(1000, 0, "a"))
	}
	require.Empty(t, s.Refuse(1900))
}

// A database that has become slower must not keep its queue waiting until the end.
func TestWaitingRequestIsRefusedOnceItIsHopeless(t *testing.T) {
	s := measuredScheduler(ByShare{}, 10, 20)
	for range 20 {
		add(t, s, 1000, ofSite(1000, 0, "a"))
	}
	for now := clock.Time(1100); now <= 1400; now += 100 {
		s.Next(now)
	}
	refused := s.Refuse(1400)
	require.NotEmpty(t, refused)
	require.NotZero(t, s.Len())
	for _, r := range refused {
		require.Equal(t, DeadlineUnreachable, r.Err.Reason)
		require.Positive(t, r.Err.Retry)
	}
}

// A slot goes to a request that can use it, and to a hopeless one only if there is
// no other.
func TestSlotGoesToARequestThatCanMeetItsDeadline(t *testing.T) {
	s := measuredScheduler(ByShare{}, 1, 50)
	hopeless := add(t, s, 1000, ofSite(1000, 0, "a"))
	useful := add(t, s, 1000, ofSite(1000, 2, "a"))
	id, _ := s.Next(1960)
	require.Equal(t, useful, id)
	id, _ = s.Next(1960)
	require.Equal(t, hopeless, id)
}

// Times of an earlier slow phase must not refuse requests later.
func TestOldMeasurementsAreForgotten(t *testing.T) {
	s := measuredScheduler(ByShare{}, 500, 20)
	for range 10 {
		add(t, s, 1001+clock.Time(estimateMemory), ofSite(1001+clock.Time(estimateMemory), 0, "a"))
	}
	require.Equal(t, 10, s.Len())
}

// Each request gets exactly one result, whatever happens in which order.
func TestEachRequestGetsOneResult(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := &Scheduler{policy: ByShare{}}
		if seed%2 == 0 {
			s.policy = ByArrival{}
		}
		open := make(map[uint64]bool)
		resolve := func(id uint64) {
			require.True(t, open[id], "seed %d: request %d", seed, id)
			delete(open, id)
		}
		for now := clock.Time(1000); now < 6000; now += clock.Time(random.IntN(6)) {
			var refused []Refusal
			switch random.IntN(8) {
			case 0, 1, 2, 3:
				var id uint64
				id, refused = s.Arrive(now, ofSite(now, random.IntN(3), strconv.Itoa(random.IntN(5))))
				open[id] = true
			case 4, 5:
				if id, ok := s.Next(now); ok {
					resolve(id)
				}
				s.Completed(now, clock.Duration(3+random.IntN(32)))
			case 6:
				refused = s.Refuse(now)
			default:
				if r := s.End(now, uint64(random.IntN(int(s.lastID)+1))); r != nil {
					resolve(r.ID)
				}
			}
			for _, r := range refused {
				resolve(r.ID)
			}
			require.Len(t, open, s.Len())
			require.LessOrEqual(t, s.Len(), s.maxWaiting())
		}
	}
}

// BenchmarkArriveAtAFullQueue measures the most expensive decision.
func BenchmarkArriveAtAFullQueue(b *testing.B) {
	s := measuredScheduler(ByShare{}, 5, 20)
	for i := 0; b.Loop(); i++ {
		now := clock.Time(1000 + i)
		s.Arrive(now, ofSite(now, i%3, eightWorkspaces[i%8]))
	}
}
