package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/connection/session"
	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

const (
	explainedNorth = "north-key-Zx81qq"
	explainedSouth = "south-key-Yw72pp"
)

// explainedSystem is five proxies in zone b, of which three are homes, before a primary in
// zone a and replicas in zones b and c. Workspace north has no limit, and south may run 1
// operation a second.
type explainedSystem struct {
	*testSystem
	t         *testing.T
	addresses map[string]string
	fronts    map[string]*front.Front

	mu sync.Mutex
	// short has the proxies that are short of processor time, and shortages counts the
	// changes of that.
	short     map[string]bool
	shortages int
}

func startExplainedSystem(t *testing.T) *explainedSystem {
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	s := &explainedSystem{
		testSystem: &testSystem{group: group, platform: standin.NewPlatform(group)}, t: t,
		addresses: make(map[string]string), fronts: make(map[string]*front.Front), short: make(map[string]bool),
	}
	t.Cleanup(s.platform.Close)
	t.Cleanup(group.Close)
	s.platform.ConfigureWorkspaces(1, 8, 60_000, []standin.Workspace{
		{Name: "north", Keys: []string{explainedNorth}}, {Name: "south", Keys: []string{explainedSouth}, Rate: 1, Burst: 1},
	}, standardRoutes...)
	for i := range 5 {
		settings := front.Settings{
			Name: fmt.Sprintf("front-%d", i), Zone: "b", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", ReadyAddress: freeAddress(t), MetricsAddress: freeAddress(t),
			StoreAddress: s.platform.Address(), PromotionAddress: s.platform.Address(), ShutdownGrace: 3 * clock.Second,
			Quota: workspace.Quota{Window: 5 * clock.Second, Overshoot: 0.1},
		}
		writer := front.NewLogWriter(io.Discard)
		t.Cleanup(writer.Close)
		log, err := front.NewLog(writer, "info", settings.Name)
		require.NoError(t, err)
		log = log.WithOptions(zap.Hooks(s.noteShortage(settings.Name)))
		f := front.New(settings, connect(settings), clock.NewBoot(), log, front.NewMetrics())
		require.NoError(t, f.Start())
		t.Cleanup(f.Stop)
		require.NoError(t, f.StartHTTP())
		s.addresses[settings.Name], s.fronts[settings.Name] = settings.MetricsAddress, f
	}
	for _, f := range s.fronts {
		require.Eventually(t, f.Ready, 10*time.Second, 5*time.Millisecond)
	}
	// Proxies that have just started know different homes, and homes no primary.
	require.Eventually(t, func() bool {
		var homes []string
		for _, address := range s.addresses {
			r, _ := readStatus(t, address)
			if len(r.Groups) != 1 || len(r.Groups[0].Homes) != 3 || r.Groups[0].Local && r.Groups[0].Primary == "" {
				return false
			}
			list := slices.Sorted(slices.Values(r.Groups[0].Homes))
			if homes != nil && !slices.Equal(homes, list) {
				return false
			}
			homes = list
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
	return s
}

// noteShortage returns a hook that records from the log whether a proxy is short of
// processor time.
func (s *explainedSystem) noteShortage(name string) func(zapcore.Entry) error {
	return func(e zapcore.Entry) error {
		if e.Message == "processor time shortage changed" {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.short[name] = !s.short[name]
			s.shortages++
		}
		return nil
	}
}

// shortage returns how often that has changed, and whether a proxy is short now.
func (s *explainedSystem) shortage() (changes int, short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, is := range s.short {
		short = short || is
	}
	return s.shortages, short
}

// ask returns the answer of a proxy to /explain-route, in which no key may be.
func (s *explainedSystem) ask(name string, values url.Values) (int, []byte) {
	response, err := http.Get("http://" + s.addresses[name] + "/explain-route?" + values.Encode())
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	for _, key := range []string{explainedNorth, explainedSouth} {
		require.NotContains(s.t, string(content), key)
	}
	return response.StatusCode, content
}

func (s *explainedSystem) explain(name, database, workspace string, kind session.Kind) session.Explanation {
	code, content := s.ask(name, url.Values{"database": {database}, "workspace": {workspace}, "kind": {string(kind)}})
	require.Equal(s.t, http.StatusOK, code, string(content))
	var e session.Explanation
	require.NoError(s.t, json.Unmarshal(content, &e))
	require.Equal(s.t, name, e.Instance)
	return e
}

// admitted returns how many operations of a workspace each proxy has sent to databases.
func (s *explainedSystem) admitted(workspace string) map[string]int {
	counts := make(map[string]int)
	for name, address := range s.addresses {
		response, err := http.Get("http://" + address + "/status?workspace=" + workspace)
		require.NoError(s.t, err)
		var r reported
		require.NoError(s.t, json.NewDecoder(response.Body).Decode(&r))
		_ = response.Body.Close()
		counts[name] = r.Workspaces.Shown[0].Admitted
	}
	return counts
}

// servedBy returns the only proxy that has sent one operation more than counts.
func (s *explainedSystem) servedBy(workspace string, counts map[string]int) string {
	served := ""
	for name, n := range s.admitted(workspace) {
		if n != counts[name] {
			require.Empty(s.t, served, "two proxies have sent the operation")
			require.Equal(s.t, counts[name]+1, n, name)
			served = name
		}
	}
	return served
}

// arrivedAt returns the databases at which a query has arrived.
func (s *explainedSystem) arrivedAt(id string) []string {
	var list []string
	for _, a := range s.group.Arrivals() {
		if a.ID == id {
			list = append(list, a.Database)
		}
	}
	return list
}

// mayBeChosen returns the databases that an explanation chooses, or whose cost is within
// what is added at random to each cost.
func mayBeChosen(e *session.Explanation) []string {
	var list []string
	lowest := 0.0
	for _, d := range e.Databases.Candidates {
		if d.Chosen {
			lowest = d.Cost
		}
	}
	for _, d := range e.Databases.Candidates {
		if d.Chosen || d.Eligible && d.Cost <= lowest*(1+backend.CostJitter) {
			list = append(list, d.ID)
		}
	}
	return list
}

// mayServe returns the proxies that may serve a request by an explanation: the one that was
// asked, or the home that is chosen and those whose cost is within what is added at random.
func mayServe(e *session.Explanation) []string {
	if e.Decision.Outcome != session.Forwarded {
		return []string{e.Instance}
	}
	lowest := 0.0
	for _, h := range e.Homes.Candidates {
		if h.Chosen {
			lowest = h.Cost
		}
	}
	var list []string
	for _, h := range e.Homes.Candidates {
		if h.Reached && h.Name != e.Instance && h.Cost <= lowest*(1+peer.CostJitter) {
			list = append(list, h.Name)
		}
	}
	return list
}

// Whatever whole proxies explain must be where requests go, or operators look in the wrong
// place: reads at a replica and writes at the primary, through the home that is named, and
// refusals where they are named.
func TestExplanationIsWhereRequestsGo(t *testing.T) {
	s := startExplainedSystem(t)
	names := make([]string, 0, len(s.addresses))
	for i := range 5 {
		names = append(names, fmt.Sprintf("front-%d", i))
	}
	forwarded, local, replicaReads := 0, 0, 0
	for _, name := range names {
		c := openWithKey(t, s.fronts[name], "bookings", explainedNorth)
		require.Contains(t, c.answer(), "READY")
		for round := range 6 {
			kind, text := session.KindRead, "READ a"
			if round%2 == 1 {
				kind, text = session.KindWrite, "WRITE a v"
			}
			entry := s.explain(name, "bookings", "north", kind)
			before := make(map[string]session.Explanation)
			for _, home := range mayServe(&entry) {
				before[home] = s.explain(home, "bookings", "north", kind)
			}
			counts := s.admitted("north")
			changes, _ := s.shortage()
			require.NotContains(t, c.query(name, text), "ERROR")
			served := s.servedBy("north", counts)
			if now, short := s.shortage(); short || now != changes {
				// A home that is short of processor time refuses what an explanation of
				// before or after has not seen refused.
				continue
			}
			later := s.explain(name, "bookings", "north", kind)
			require.Contains(t, append(mayServe(&entry), mayServe(&later)...), served, "the request of %s ran elsewhere", name)
			e, ok := before[served]
			if !ok {
				// The choice has changed since.
				continue
			}
			if served == name {
				local++
			} else {
				forwarded++
			}
			after := s.explain(served, "bookings", "north", kind)
			require.Equal(t, session.Sent, e.Decision.Outcome, "%s: %+v", served, e.Decision)
			require.True(t, e.Homes.Local)
			at := s.arrivedAt(fmt.Sprintf("%s-%d", name, c.number))
			require.Len(t, at, 1)
			if kind == session.KindWrite {
				require.Equal(t, "shop-a", e.Decision.Database)
				require.Equal(t, "primary", e.Decision.Role)
				require.Equal(t, "shop-a", at[0])
				continue
			}
			require.Contains(t, append(mayBeChosen(&e), mayBeChosen(&after)...), at[0])
			if e.Decision.Role == "replica" && e.Decision.Database == at[0] {
				replicaReads++
			}
		}
	}
	t.Logf("%d forwarded, %d served by the entry proxy, %d reads at the replica that was named", forwarded, local, replicaReads)
	require.Positive(t, forwarded)
	require.Positive(t, local)
	require.Positive(t, replicaReads)
	s.compareLimit(names)
	s.compareUnknown(names[0])
}

// compareLimit compares explanations with operations of the workspace that is at its limit.
func (s *explainedSystem) compareLimit(names []string) {
	home := names[0]
	if e := s.explain(home, "bookings", "south", session.KindWrite); e.Decision.Outcome == session.Forwarded {
		home = e.Decision.Home
	}
	c := openWithKey(s.t, s.fronts[home], "bookings", explainedSouth)
	require.Contains(s.t, c.answer(), "READY")
	ran, refused := 0, 0
	// Accountants that have just been chosen grant nothing for some seconds.
	for until := time.Now().Add(30 * time.Second); refused < 5 || ran < 2; {
		require.True(s.t, time.Now().Before(until), "%d explained refusals, %d operations ran", refused, ran)
		before := s.explain(home, "bookings", "south", session.KindWrite)
		answer := c.query("south", "WRITE a v")
		after := s.explain(home, "bookings", "south", session.KindWrite)
		busy := strings.Contains(answer, "BUSY")
		d := before.Decision
		if d.Outcome == session.Refused && after.Decision.Outcome == session.Refused {
			require.Equal(s.t, "limit", d.Reason)
			require.Equal(s.t, "busy", d.Code)
			require.Equal(s.t, "refused", before.Workspace.Token)
			require.True(s.t, busy, "explained as refused: %s", answer)
			require.Contains(s.t, answer, "workspace south is over its limit")
			refused++
		}
		if d.Outcome == session.Sent && len(d.Conditions) == 0 {
			require.Equal(s.t, "granted", before.Workspace.Token)
		}
		if !busy {
			require.NotContains(s.t, answer, "ERROR")
			require.Equal(s.t, []string{"shop-a"}, s.arrivedAt(fmt.Sprintf("south-%d", c.number)))
			ran++
		}
		require.EqualValues(s.t, 1, before.Workspace.Rate)
		time.Sleep(50 * time.Millisecond)
	}
}

// compareUnknown compares explanations with sessions that are refused.
func (s *explainedSystem) compareUnknown(name string) {
	code, content := s.ask(name, url.Values{"database": {"nowhere"}, "workspace": {"north"}})
	require.Equal(s.t, http.StatusNotFound, code)
	require.Contains(s.t, string(content), "parameter database")
	require.Contains(s.t, openWithKey(s.t, s.fronts[name], "nowhere", explainedNorth).answer(), "NODATABASE")
	code, content = s.ask(name, url.Values{"database": {"bookings"}})
	require.Equal(s.t, http.StatusOK, code)
	var e session.Explanation
	require.NoError(s.t, json.Unmarshal(content, &e))
	require.Equal(s.t, "unauthorized", e.Decision.Code)
	require.Contains(s.t, openWithKey(s.t, s.fronts[name], "bookings", "nobody").answer(), "NOAUTH")
}
