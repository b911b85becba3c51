package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// errCut is the error of calls over a cut link.
var errCut = errors.New("link is cut")

// partition cuts the links of one proxy.
type partition struct {
	// databases has the IDs of the databases that are out of reach, nil for none.
	databases atomic.Pointer[[]string]
	store     atomic.Bool
}

// cut cuts the links to some databases, and restores those to all others.
func (n *partition) cut(ids ...string) { n.databases.Store(&ids) }

func (n *partition) cuts(id string) bool {
	ids := n.databases.Load()
	return ids != nil && slices.Contains(*ids, id)
}

// wrap returns a platform whose links n cuts.
func (n *partition) wrap(p front.Platform) front.Platform {
	p.Dialer, p.Store = cutDialer{p.Dialer, n}, cutStore{p.Store, n}
	return p
}

type cutDialer struct {
	backend.Dialer
	*partition
}

// Dial implements backend.Dialer.
func (d cutDialer) Dial(ctx context.Context, to backend.Target) (backend.Conn, statement.Answer, error) {
	if d.cuts(to.ID) {
		return nil, statement.Answer{}, errCut
	}
	c, a, err := d.Dialer.Dial(ctx, to)
	return cutConn{c, d.partition, to.ID}, a, err
}

type cutConn struct {
	backend.Conn
	*partition
	id string
}

// Exchange implements backend.Conn.
func (c cutConn) Exchange(limit clock.Duration, requests []statement.Request, answers []statement.Answer) (int, error) {
	if c.cuts(c.id) {
		return 0, errCut
	}
	return c.Conn.Exchange(limit, requests, answers)
}

type cutStore struct {
	store.Store
	*partition
}

// Table implements store.Store.
func (s cutStore) Table(ctx context.Context, table string) ([]store.Row, store.Version, error) {
	if s.partition.store.Load() {
		return nil, store.Version{}, errCut
	}
	return s.Store.Table(ctx, table)
}

// Feed implements store.Store. What arrives after the cut is lost.
func (s cutStore) Feed(ctx context.Context, table string, after store.Version, wait clock.Duration) ([]store.Row, store.Version, error) {
	rows, version, err := s.Store.Feed(ctx, table, after, wait)
	if s.partition.store.Load() {
		return nil, store.Version{}, errCut
	}
	return rows, version, err
}

// timedSystem is a system whose links can be cut.
type timedSystem struct {
	testSystem
	partitions []*partition
}

// startTimedSystem starts a system whose databases replicate and promote with delays.
func startTimedSystem(t *testing.T, fronts int, timing standin.Timing) *timedSystem {
	t.Helper()
	return startTimedSystemOf(t, 3, fronts, timing)
}

// startTimedSystemOf is startTimedSystem with a number of databases.
func startTimedSystemOf(t *testing.T, databases, fronts int, timing standin.Timing) *timedSystem {
	t.Helper()
	group, err := standin.NewGroup("shop", []string{"a", "b", "c", "d", "e"}[:databases], 0)
	require.NoError(t, err)
	group.Timing = timing
	s := &timedSystem{testSystem: testSystem{group: group, platform: standin.NewPlatform(group)}}
	s.platform.Configure(1, 64, 30_000, standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Timeout: 2000, Target: 150, Priority: 1, Group: "shop"})
	t.Cleanup(s.platform.Close)
	t.Cleanup(group.Close)
	for i := range fronts {
		n := &partition{}
		s.partitions = append(s.partitions, n)
		s.startFrontThrough(t, fmt.Sprintf("front-%d", i), 0, n.wrap)
	}
	for _, f := range s.fronts {
		require.Eventually(t, f.Ready, 10*time.Second, 5*time.Millisecond)
	}
	return s
}

// readAlways reads an item through each proxy until the test ends.
func (s *timedSystem) readAlways(t *testing.T, item string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, f := range s.fronts {
		go func() {
			var c *standin.Caller
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				if c == nil {
					var err error
					if c, err = standin.Open(f.Address(), "fills"); err != nil {
						c = nil
						continue
					}
				}
				if _, err := c.Query("READ " + item); err != nil {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
}

// queryAll sends statements in order, with a key in place of %s, and returns the last answer.
func queryAll(t *testing.T, caller *standin.Caller, statements []string, key string) standin.Reply {
	t.Helper()
	var reply standin.Reply
	for _, text := range statements {
		reply = query(t, caller, strings.ReplaceAll(text, "%s", key))
	}
	return reply
}

// promises are the answers which say that nothing is kept.
var promises = []string{standin.Busy, standin.Aborted, "LAGGING", "READONLY"}

// A write was answered ABORTED, and committed by the next replacement: the primary that
// lacked it crashed before its first write, and the one before was back with its log
// (REFUSED).
func TestAbortedWriteIsNotCommittedByALaterReplacement(t *testing.T) {
	for name, statements := range map[string][]string{"write": {"WRITE k once"}, "COMMIT": {"BEGIN", "WRITE k once", "COMMIT"}} {
		t.Run(name, func(t *testing.T) {
			s := startTimedSystem(t, 3, standin.Timing{
				Network: 20 * time.Millisecond, Apply: 20 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: time.Second, Rejoin: 200 * time.Millisecond,
			})
			a, b, c := s.group.Databases()[0], s.group.Databases()[1], s.group.Databases()[2]
			caller := openSession(t, s.fronts[0], "fills")
			queryUntilSuccess(t, caller, "WRITE before v")
			s.readAlways(t, "before")
			time.Sleep(300 * time.Millisecond)
			crashed := make(chan struct{})
			go func() {
				defer close(crashed)
				for len(s.group.Writes("k")) == 0 {
					time.Sleep(time.Millisecond)
				}
				b.SetDeaf(true)
				c.SetDeaf(true)
				a.SetDown(true)
				for !b.IsPrimary() && !c.IsPrimary() {
					time.Sleep(time.Millisecond)
				}
				b.SetDeaf(false)
				c.SetDeaf(false)
			}()
			var last standin.Reply
			for _, text := range statements {
				last = query(t, caller, text)
			}
			<-crashed
			promised := slices.Contains(promises, last.Code())
			if b.IsPrimary() {
				b.SetDown(true)
			} else {
				c.SetDown(true)
			}
			time.Sleep(300 * time.Millisecond)
			a.SetDown(false)
			require.Eventually(t, a.IsPrimary, 15*time.Second, 10*time.Millisecond)
			require.Len(t, s.group.Writes("k"), 1)
			require.False(t, promised, "the write is committed and was answered %q", last.Error)
		})
	}
}

// A replica that the replacement had paused started again before the promotion took effect,
// received from the old primary, and confirmed its writes, which the promoted database lacks
// (LOST).
func TestRestartedReplicaConfirmsNoWriteBesideAReplacement(t *testing.T) {
	restart := func(d *standin.Database) {
		d.SetDown(true)
		time.Sleep(100 * time.Millisecond)
		d.SetDown(false)
	}
	for name, c := range map[string]struct {
		// cutStore is set if the proxy that writes does not hear of the replacement.
		cutStore bool
		// lostAnswers is how many promotion calls are not answered.
		lostAnswers int
		restarts    int
	}{
		"once":                          {restarts: 1},
		"three times":                   {restarts: 3},
		"beside lost promotion answers": {restarts: 2, lostAnswers: 3},
		"without the store":             {restarts: 2, cutStore: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTimedSystem(t, 5, standin.Timing{
				Network: 2 * time.Millisecond, Apply: 20 * time.Millisecond, Promote: time.Second, Demote: time.Second, Rejoin: 50 * time.Millisecond,
			})
			a := s.group.Databases()[0]
			caller := openSession(t, s.fronts[0], "fills")
			queryUntilSuccess(t, caller, "WRITE before v")
			s.readAlways(t, "before")
			time.Sleep(500 * time.Millisecond)
			s.platform.LosePromotionAnswers(c.lostAnswers)
			s.partitions[0].store.Store(c.cutStore)
			for _, n := range s.partitions[1:3] {
				n.cut(a.ID)
			}
			require.Eventually(t, func() bool { return len(s.platform.Promotions()) > 0 }, 10*time.Second, time.Millisecond)
			promoted := s.platform.Promotions()[0].Identifier
			for _, d := range s.group.Databases()[1:] {
				if d.ID == promoted {
					continue
				}
				go func() {
					for range c.restarts {
						restart(d)
						time.Sleep(150 * time.Millisecond)
					}
				}()
			}
			var acknowledged []string
			end := time.Now().Add(2 * time.Second)
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(20 * time.Millisecond)
				key := fmt.Sprint("k", i)
				if query(t, caller, "WRITE "+key+" v").Error == "" {
					acknowledged = append(acknowledged, key)
				}
			}
			for _, n := range s.partitions[:3] {
				n.cut()
				n.store.Store(false)
			}
			queryUntilSuccess(t, caller, "WRITE after v")
			for _, key := range acknowledged {
				require.NotEmpty(t, s.group.Writes(key), "write %s was acknowledged and is lost", key)
			}
		})
	}
}

// A proxy that did not know of a database which had just joined went on confirming writes of
// the old primary by the smaller group, after the others had replaced it by the larger one
// (ONE).
func TestWritesAreKeptWhileProxiesKnowDifferentMembers(t *testing.T) {
	const promote, joinedBefore = 300 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		databases, joined int
		// joinedBefore is how long before the partition the databases join, negative if
		// they join later.
		joinedBefore time.Duration
		// turnedAway is how many proxies the store turns away.
		turnedAway int
		promote    time.Duration
		// returns is set if the group has a database less for a while instead, which
		// comes back.
		returns    bool
		statements []string
	}{
		"three databases become four":   {databases: 3, joined: 1, joinedBefore: joinedBefore, turnedAway: 1, promote: promote},
		"three databases become five":   {databases: 3, joined: 2, joinedBefore: joinedBefore, turnedAway: 1, promote: promote},
		"five databases become six":     {databases: 5, joined: 1, joinedBefore: joinedBefore, turnedAway: 1, promote: promote},
		"right before the partition":    {databases: 3, joined: 1, joinedBefore: 200 * time.Millisecond, turnedAway: 1, promote: promote},
		"right after the partition":     {databases: 3, joined: 1, joinedBefore: -150 * time.Millisecond, turnedAway: 1, promote: promote},
		"several proxies":               {databases: 3, joined: 1, joinedBefore: joinedBefore, turnedAway: 2, promote: promote},
		"slow promotion":                {databases: 3, joined: 1, joinedBefore: joinedBefore, turnedAway: 1, promote: time.Second},
		"transactions":                  {databases: 3, joined: 1, joinedBefore: joinedBefore, turnedAway: 1, promote: promote, statements: []string{"BEGIN", "WRITE %s v", "COMMIT"}},
		"a database that has come back": {databases: 4, returns: true, joinedBefore: joinedBefore, turnedAway: 1, promote: promote},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTimedSystemOf(t, c.databases, 5, standin.Timing{
				Network: 2 * time.Millisecond, Apply: 20 * time.Millisecond, Promote: c.promote, Demote: time.Second, Rejoin: 200 * time.Millisecond,
				Lapse: time.Second,
			})
			caller := openSession(t, s.fronts[0], "fills")
			queryUntilSuccess(t, caller, "WRITE before v")
			s.readAlways(t, "before")
			time.Sleep(time.Second)
			old := s.group.Databases()
			last := old[len(old)-1]
			if c.returns {
				last.SetDown(true)
				time.Sleep(16 * time.Second)
				old = old[:len(old)-1]
			}
			for _, n := range s.partitions[:c.turnedAway] {
				n.store.Store(true)
			}
			side := old[:len(old)/2+1]
			var ids []string
			for _, d := range side {
				ids = append(ids, d.ID)
			}
			cut := func() {
				s.group.Separate(side...)
				for _, n := range s.partitions[c.turnedAway:] {
					n.cut(ids...)
				}
			}
			if c.joinedBefore < 0 {
				cut()
				time.Sleep(-c.joinedBefore)
			}
			for range c.joined {
				_, err := s.group.Add("d")
				require.NoError(t, err)
			}
			if c.returns {
				last.SetDown(false)
			}
			if c.joinedBefore > 0 {
				time.Sleep(c.joinedBefore)
				cut()
			}
			statements := c.statements
			if statements == nil {
				statements = []string{"WRITE %s v"}
			}
			begunAt, lastAt := time.Now(), time.Time{}
			var acknowledged []string
			for i := 0; time.Since(begunAt) < 5*time.Second; i++ {
				key := fmt.Sprint("k", i)
				if queryAll(t, caller, statements, key).Error == "" {
					acknowledged = append(acknowledged, key)
					lastAt = time.Now()
				}
				time.Sleep(20 * time.Millisecond)
			}
			promotions := s.platform.Promotions()
			s.group.Separate()
			for _, n := range s.partitions {
				n.cut()
				n.store.Store(false)
			}
			time.Sleep(2 * time.Second)
			queryUntilSuccess(t, caller, "WRITE after v")
			for _, key := range acknowledged {
				require.NotEmpty(t, s.group.Writes(key), "write %s was acknowledged and is lost", key)
			}
			require.Empty(t, promotions, "the fences are no quorum of the group without the new database")
			require.Greater(t, lastAt.Sub(begunAt), 4*time.Second, "a quorum confirms the writes until the end")
		})
	}
}

// A proxy that had never reached the new primary replaced it. The last primary that it knew
// counted as fenced, went on receiving, and confirmed writes that the promoted database lacked
// (LOST).
func TestWritesAreKeptWhenAProxyDoesNotReachThePrimary(t *testing.T) {
	for name, k := range map[string]struct {
		databases int
		// blind is how many proxies do not reach the primary.
		blind      int
		statements []string
	}{
		"one proxy":                   {databases: 3, blind: 1},
		"two proxies":                 {databases: 3, blind: 2},
		"two proxies, five databases": {databases: 5, blind: 2},
		"two proxies, transactions":   {databases: 3, blind: 2, statements: []string{"BEGIN", "WRITE %s v", "COMMIT"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTimedSystemOf(t, k.databases, 5, standin.Timing{
				Network: 2 * time.Millisecond, Apply: 5 * time.Millisecond, Promote: 300 * time.Millisecond, Demote: 500 * time.Millisecond, Rejoin: 50 * time.Millisecond,
			})
			a, others := s.group.Databases()[0], s.group.Databases()[1:]
			caller := openSession(t, s.fronts[0], "fills")
			queryUntilSuccess(t, caller, "WRITE before v")
			s.readAlways(t, "before")
			time.Sleep(300 * time.Millisecond)
			var ids []string
			for _, d := range others {
				ids = append(ids, d.ID)
			}
			blind := s.partitions[5-k.blind:]
			for _, n := range blind {
				n.cut(ids...)
			}
			s.partitions[0].cut(a.ID)
			s.partitions[1].cut(a.ID)
			var primary *standin.Database
			require.Eventually(t, func() bool {
				i := slices.IndexFunc(others, (*standin.Database).IsPrimary)
				if i >= 0 {
					primary = others[i]
				}
				return i >= 0
			}, 10*time.Second, time.Millisecond)
			queryUntilSuccess(t, caller, "WRITE term2 v")
			require.Eventually(t, func() bool { return a.Holds("term2") }, 10*time.Second, time.Millisecond)
			s.partitions[0].cut()
			s.partitions[1].cut()
			time.Sleep(300 * time.Millisecond)

			// The databases that the blind proxies reach, a among them, are just enough.
			unreachable := []string{primary.ID}
			for _, id := range ids {
				if id != primary.ID && len(unreachable) < k.databases/2 {
					unreachable = append(unreachable, id)
				}
			}
			for _, n := range blind {
				n.cut(unreachable...)
			}
			statements := k.statements
			if statements == nil {
				statements = []string{"WRITE %s v"}
			}
			var acknowledged []string
			begun := time.Now()
			for i := 0; time.Since(begun) < 4*time.Second; i++ {
				key := fmt.Sprint("k", i)
				if queryAll(t, caller, statements, key).Error == "" {
					acknowledged = append(acknowledged, key)
				}
			}
			term := s.group.Term()
			for _, n := range s.partitions {
				n.cut()
			}
			queryUntilSuccess(t, caller, "WRITE after v")
			require.NotEmpty(t, acknowledged)
			for _, key := range acknowledged {
				require.NotEmpty(t, s.group.Writes(key), "write %s was acknowledged and is lost", key)
			}
			require.EqualValues(t, 1+k.blind, term, "two proxies that do not reach a primary replace it, one does not")
		})
	}
}
