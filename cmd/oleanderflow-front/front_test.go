package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// system is proxies in this process before stand-ins of the platform.
type system struct {
	platform *standin.Platform
	group    *standin.Group
	fronts   []*front.Front
}

// transactionIdle is how long a transaction may rest, in ms.
const transactionIdle = 500

func configure(p *standin.Platform, version, connections int, routes ...standin.Route) {
	p.Configure(version, connections, transactionIdle, routes...)
}

var standardRoutes = []standin.Route{
	{Name: "r1", Database: "fills", Prefix: "/", Kind: standin.Primary, Timeout: 3000, Target: 500, Priority: 1, Group: "shop"},
	{Name: "r2", Database: "invoices", Prefix: "/", Kind: standin.ReadYourWrites, Timeout: 3000, Target: 500, Priority: 2, Group: "shop", MaxAge: 2500},
	{Name: "r3", Database: "bookings", Prefix: "/", Kind: standin.BoundedAge, Timeout: 3000, Target: 500, Priority: 2, Group: "shop", MaxAge: 1500},
}

func startSystem(t *testing.T, fronts, connections int, lag time.Duration) *system {
	t.Helper()
	return startPatient(t, fronts, connections, lag, transactionIdle)
}

// startPatient starts a system whose transactions may rest for a time, in ms.
func startPatient(t *testing.T, fronts, connections int, lag time.Duration, idle int) *system {
	t.Helper()
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, lag)
	require.NoError(t, err)
	s := &system{group: group, platform: standin.NewPlatform(group)}
	s.platform.Configure(1, connections, idle, standardRoutes...)
	t.Cleanup(s.platform.Close)
	t.Cleanup(group.Close)
	for i := range fronts {
		s.startFront(t, fmt.Sprintf("front-%d", i))
	}
	for _, f := range s.fronts {
		require.Eventually(t, f.Ready, 10*time.Second, 5*time.Millisecond)
	}
	return s
}

func (s *system) startFront(t *testing.T, name string) *front.Front {
	t.Helper()
	settings := front.Settings{
		Name: name, Zone: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		StoreAddress: s.platform.Address(), PromotionAddress: s.platform.Address(), ShutdownGrace: 3 * clock.Second,
	}
	lines := front.NewLogWriter(io.Discard)
	log, err := front.NewLog(lines, "debug", name)
	require.NoError(t, err)
	f := front.New(settings, connect(settings), clock.NewBoot(), log, front.NewMetrics())
	require.NoError(t, f.Start())
	s.fronts = append(s.fronts, f)
	return f
}

func open(t *testing.T, f *front.Front, database string) *standin.Caller {
	t.Helper()
	var c *standin.Caller
	require.Eventually(t, func() bool {
		var err error
		c, err = standin.Open(f.Address(), database)
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
	t.Cleanup(c.Close)
	return c
}

func ask(t *testing.T, c *standin.Caller, text string) standin.Reply {
	t.Helper()
	r, err := c.Query(text)
	require.NoError(t, err, text)
	return r
}

// must asks until the answer is a success, as callers do after a promise that
// nothing ran.
func must(t *testing.T, c *standin.Caller, text string) standin.Reply {
	t.Helper()
	var r standin.Reply
	require.Eventually(t, func() bool {
		r = ask(t, c, text)
		return r.Error == ""
	}, 15*time.Second, 20*time.Millisecond, text)
	return r
}

func TestCallersSeeTheirWritesThroughAnyProxy(t *testing.T) {
	s := startSystem(t, 2, 64, 5*time.Millisecond)
	for i, f := range s.fronts {
		c := open(t, f, "invoices")
		key := fmt.Sprint("tyre", i)
		r := must(t, c, "WRITE "+key+" filled")
		require.True(t, strings.HasPrefix(r.Signature, "sig.shop-"))
		require.Equal(t, []string{"filled"}, must(t, c, "READ "+key).Rows)
	}
	c := open(t, s.fronts[1], "fills")
	require.Equal(t, []string{"filled"}, must(t, c, "READ tyre0").Rows, "a fresh read sees what another proxy acknowledged")
}

func TestTransactionsAndPreparedNames(t *testing.T) {
	// On a busy machine the other session may take longer than the usual rest.
	s := startPatient(t, 1, 64, 0, 30_000)
	one, two := open(t, s.fronts[0], "fills"), open(t, s.fronts[0], "fills")
	require.Equal(t, "I", must(t, one, "PREPARE s1 WRITE shape").State)
	require.Empty(t, ask(t, two, "PREPARE s1 READ shape").Error)
	require.Empty(t, ask(t, one, "SET zone west").Error)

	require.Equal(t, "T", ask(t, one, "BEGIN").State)
	require.Empty(t, must(t, one, "EXECUTE s1 a first").Error)
	require.Equal(t, []string{""}, must(t, two, "EXECUTE s1 a").Rows, "the same name is another statement there")
	require.Equal(t, []string{"first"}, must(t, one, "READ a").Rows)
	require.Equal(t, "I", must(t, one, "COMMIT").State)
	require.Equal(t, []string{"first"}, must(t, two, "EXECUTE s1 a").Rows)

	require.Empty(t, ask(t, one, "BEGIN").Error)
	require.Empty(t, ask(t, one, "WRITE a second").Error)
	require.Equal(t, "I", ask(t, one, "ROLLBACK").State)
	require.Equal(t, []string{"first"}, must(t, two, "READ a").Rows)

	require.Empty(t, ask(t, one, "BEGIN READ").Error)
	r := ask(t, one, "WRITE a third")
	require.NotEmpty(t, r.Error)
	require.Equal(t, "E", r.State)
	require.Equal(t, standin.Malformed, ask(t, one, "READ a").Code())
	require.Equal(t, standin.Aborted, ask(t, one, "COMMIT").Code())
	require.Equal(t, "I", must(t, one, "READ a").State)
	require.Equal(t, standin.Malformed, ask(t, one, "NONSENSE").Code())
}

func TestRestingTransactionIsRolledBack(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	c := open(t, s.fronts[0], "fills")
	must(t, c, "READ a")
	require.Empty(t, ask(t, c, "BEGIN").Error)
	require.Empty(t, ask(t, c, "WRITE a kept").Error)
	time.Sleep(800 * time.Millisecond)
	require.Equal(t, standin.Malformed, ask(t, c, "READ a").Code())
	require.Equal(t, standin.Aborted, ask(t, c, "COMMIT").Code())
	require.Equal(t, []string{""}, must(t, c, "READ a").Rows)
}

func TestAcknowledgedWritesSurviveThePrimary(t *testing.T) {
	s := startSystem(t, 3, 64, 0)
	callers := make([]*standin.Caller, 0, len(s.fronts))
	for _, f := range s.fronts {
		callers = append(callers, open(t, f, "fills"))
	}
	for round := range 2 {
		for i, c := range callers {
			must(t, c, fmt.Sprintf("WRITE k%d-%d v", round, i))
		}
		for _, d := range s.group.Databases() {
			if d.Leads() {
				d.SetDown(true)
				defer d.SetDown(false)
				break
			}
		}
		for i, c := range callers {
			must(t, c, fmt.Sprintf("WRITE after%d-%d v", round, i))
			require.Equal(t, []string{"v"}, must(t, c, fmt.Sprintf("READ k%d-%d", round, i)).Rows)
		}
		for _, d := range s.group.Databases() {
			d.SetDown(false)
		}
		// Others may give orders again only after a while.
		time.Sleep(200 * time.Millisecond)
	}
	var last uint64
	for _, p := range s.platform.Promotions() {
		require.GreaterOrEqual(t, p.Token, last)
		last = p.Token
	}
	require.NotZero(t, last)
}

func TestClaimIsSettledAfterALostAnswer(t *testing.T) {
	s := startSystem(t, 2, 64, 0)
	callers := []*standin.Caller{open(t, s.fronts[0], "fills"), open(t, s.fronts[1], "fills")}
	for _, c := range callers {
		must(t, c, "WRITE before v")
	}
	s.platform.LoseNextAnswer()
	s.group.Databases()[0].SetDown(true)
	s.platform.Remove("servers", s.group.Databases()[0].ID)
	for _, c := range callers {
		must(t, c, "WRITE after v")
		require.Equal(t, []string{"v"}, must(t, c, "READ before").Rows)
	}
}

func TestConfigurationTakesForceWithTheNextTransaction(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	c := open(t, s.fronts[0], "fills")
	must(t, c, "READ a")
	require.Empty(t, ask(t, c, "BEGIN").Error)
	require.Empty(t, ask(t, c, "WRITE a v").Error)
	configure(s.platform, 9, 64, standardRoutes[1:]...)
	require.Eventually(t, func() bool {
		_, err := standin.Open(s.fronts[0].Address(), "fills")
		return err != nil && strings.Contains(err.Error(), standin.NoDatabase)
	}, 5*time.Second, 20*time.Millisecond)
	require.Empty(t, ask(t, c, "COMMIT").Error, "a transaction keeps the version that it began with")
	require.Equal(t, standin.NoDatabase, ask(t, c, "READ a").Code())
	// An older version never takes force again.
	configure(s.platform, 3, 64, standardRoutes...)
	time.Sleep(600 * time.Millisecond)
	_, err := standin.Open(s.fronts[0].Address(), "fills")
	require.ErrorContains(t, err, standin.NoDatabase)
}

func TestForeignEntriesDisturbNoDatabase(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	s.platform.WriteText("servers", "x1", "not JSON")
	s.platform.WriteText("servers", "x2", `{"service":7}`)
	s.platform.WriteText("servers", "x3", `{"service":"shop","address":"127.0.0.1:1","zone":"a","slots":3,"state":"odd","database_role":"primary"}`)
	c := open(t, s.fronts[0], "fills")
	must(t, c, "WRITE a v")
	require.Equal(t, []string{"v"}, must(t, c, "READ a").Rows)
}

func TestRequestsArePassedOnToHomes(t *testing.T) {
	// Six connections for five proxies: three homes serve for the others.
	s := startSystem(t, 5, 6, 0)
	time.Sleep(5 * time.Second) // the members learn of each other
	for i, f := range s.fronts {
		c := open(t, f, "invoices")
		key := fmt.Sprint("k", i)
		must(t, c, "PREPARE w WRITE shape")
		must(t, c, "EXECUTE w "+key+" v")
		require.Equal(t, []string{"v"}, must(t, c, "READ "+key).Rows)
		require.Empty(t, ask(t, c, "BEGIN").Error)
		require.Empty(t, ask(t, c, "EXECUTE w "+key+" w").Error)
		require.Equal(t, []string{"w"}, ask(t, c, "READ "+key).Rows)
		require.Empty(t, ask(t, c, "COMMIT").Error)
		require.Equal(t, []string{"w"}, must(t, c, "READ "+key).Rows)
		require.Empty(t, ask(t, c, "BEGIN").Error)
		require.Empty(t, ask(t, c, "EXECUTE w "+key+" x").Error)
		require.Equal(t, "I", ask(t, c, "ROLLBACK").State)
		require.Equal(t, []string{"w"}, must(t, c, "READ "+key).Rows)
	}
}

func TestStopFinishesWhatIsOpen(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	f := s.fronts[0]
	idle, busy := open(t, f, "fills"), open(t, f, "fills")
	must(t, busy, "READ a")
	require.Empty(t, ask(t, busy, "BEGIN").Error)
	require.Empty(t, ask(t, busy, "WRITE a v").Error)
	stopped := make(chan struct{})
	go func() {
		f.Stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool { return !f.Ready() }, time.Second, time.Millisecond)
	require.Empty(t, ask(t, busy, "COMMIT").Error)
	require.True(t, idle.AwaitEnd(3*time.Second))
	require.True(t, busy.AwaitEnd(3*time.Second))
	select {
	case <-stopped:
	case <-time.After(4 * time.Second):
		t.Fatal("the proxy does not stop within its grace")
	}
}

func TestStoreAwayAtTheStart(t *testing.T) {
	s := startSystem(t, 1, 64, 0)
	s.platform.SetDown(true)
	f := s.startFront(t, "late")
	time.Sleep(300 * time.Millisecond)
	require.False(t, f.Ready())
	// It does not know which names exist, and must not say that one does not.
	_, err := standin.Open(f.Address(), "fills")
	require.ErrorContains(t, err, standin.Busy)
	must(t, open(t, s.fronts[0], "fills"), "WRITE a v")
	s.platform.SetDown(false)
	require.Eventually(t, f.Ready, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, []string{"v"}, must(t, open(t, f, "fills"), "READ a").Rows)
}

// A promotion that was not answered may have taken effect: it is ordered again
// for the same database, never for another one (soak seed 202).
func TestUnansweredPromotionIsNotGivenToAnother(t *testing.T) {
	s := startSystem(t, 2, 64, 0)
	callers := []*standin.Caller{open(t, s.fronts[0], "fills"), open(t, s.fronts[1], "fills")}
	for _, c := range callers {
		must(t, c, "WRITE before v")
	}
	s.platform.LosePromotionAnswers(8)
	s.group.Databases()[0].SetDown(true)
	for i := range 20 {
		c := callers[i%2]
		must(t, c, fmt.Sprintf("WRITE k%d v", i))
	}
	promoted := make(map[string]bool)
	for _, p := range s.platform.Promotions() {
		promoted[p.Identifier] = true
	}
	require.Len(t, promoted, 1)
	for i := range 20 {
		require.Len(t, s.group.Writes(fmt.Sprintf("k%d", i)), 1)
	}
}
