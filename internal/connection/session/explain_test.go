package session

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/internal/process/database"
	"github.com/oleanderflow/oleanderflow/internal/process/group"
	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/freshness"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/pkg/position"
)

// stoppedClock moves only when it is set.
type stoppedClock struct{ now clock.Time }

// Now implements clock.Clock.
func (c *stoppedClock) Now() clock.Time { return c.now }

// explained is a proxy with one group: primary a in zone z, replicas b in zone z and c in
// zone y, and routes of each kind.
type explained struct {
	t      *testing.T
	clock  *stoppedClock
	group  *backend.GroupClient
	limits previewedLimit
	deps   Dependencies
}

// previewedLimit is the limit of each workspace.
type previewedLimit struct{ LimitPreview }

// PreviewLimit implements LimitPreviewer.
func (l *previewedLimit) PreviewLimit(string, int) LimitPreview { return l.LimitPreview }

const explainedKey = "k-north-Zx81qq"

func newExplained(t *testing.T, workspaces bool) *explained {
	x := &explained{t: t, clock: &stoppedClock{now: 1_000_000}}
	x.limits.Decision = workspace.Granted{}
	x.group = backend.NewGroupClient("shop", "z", backend.DefaultSettings(), refusedDialer{}, x.clock, zap.NewNop(), func() {})
	t.Cleanup(x.group.Close)
	for _, id := range []string{"a", "b", "c"} {
		zone := "z"
		if id == "c" {
			zone = "y"
		}
		x.group.Update(group.Entry{ID: id, Group: "shop", Zone: zone, Address: id, Slots: 4})
		x.observe(id, 100)
	}
	v := &routes.Version{Number: 7, Routes: make(map[string]*routes.Route)}
	for name, consistency := range map[string]routes.Consistency{"fills": routes.Primary, "bookings": routes.BoundedAge, "invoices": routes.ReadYourWrites, "open": routes.BoundedAge} {
		v.Routes[name] = &routes.Route{
			Name: "r-" + name, Database: name, Group: "shop", Consistency: consistency, Timeout: 3 * clock.Second,
			TargetLatency: 500 * clock.Millisecond, MaxAge: 1500 * clock.Millisecond, Public: name == "open",
		}
	}
	v.Routes["elsewhere"] = &routes.Route{Name: "r-elsewhere", Database: "elsewhere", Group: "nowhere", Timeout: clock.Second}
	if workspaces {
		v.Workspaces = routes.NewWorkspaces()
		require.NoError(t, v.Workspaces.Add(routes.Workspace{Name: "north", Rate: 60, Burst: 30}, []string{explainedKey}))
	}
	x.deps = Dependencies{Clock: x.clock, Configuration: &routes.Current{}, Log: zap.NewNop(), Self: "self", Group: func(name string) *backend.GroupClient {
		if name == "shop" {
			return x.group
		}
		return nil
	}}
	require.True(t, x.deps.Configuration.Accept(v))
	return x
}

// observe records the status of a database with the log up to an offset, as of now.
func (x *explained) observe(id string, offset uint64) {
	role := database.RoleReplica
	if id == "a" {
		role = database.RolePrimary
	}
	x.group.ObserveStatus(id, x.clock.now, x.clock.now, database.Status{Role: role, Term: 1, Received: position.Position{Term: 1, Offset: offset}})
}

func (x *explained) explain(q Query) *Explanation {
	if q.Kind == "" {
		q.Kind = KindRead
	}
	e, err := Explain(&x.deps, "z", &x.limits, q)
	require.NoError(x.t, err)
	text, err := json.Marshal(e)
	require.NoError(x.t, err)
	requireSecret(x.t, explainedKey, string(text))
	require.NotEmpty(x.t, e.Decision.Why)
	return e
}

// previewFunc is a LimitPreviewer that is called after a primary is chosen and before the
// databases are described.
type previewFunc func() LimitPreview

// PreviewLimit implements LimitPreviewer.
func (f previewFunc) PreviewLimit(string, int) LimitPreview { return f() }

// An explanation sent a write to one database and named another as the primary.
func TestExplanationIsMadeFromOneState(t *testing.T) {
	x := newExplained(t, true)
	e, err := Explain(&x.deps, "z", previewFunc(func() LimitPreview {
		x.group.MarkNotPrimary("a")
		x.clock.now++
		x.group.ObserveStatus("b", x.clock.now, x.clock.now, database.Status{Role: database.RolePrimary, Term: 2, Received: position.Position{Term: 2, Offset: 100}})
		return x.limits.LimitPreview
	}), Query{Database: "bookings", Workspace: "north", Kind: KindWrite})
	require.NoError(t, err)
	require.Equal(t, Sent, e.Decision.Outcome)
	require.Equal(t, "a", e.Decision.Database)
	require.Equal(t, "a", e.Databases.Primary)
	require.EqualValues(t, 1, e.Databases.Term)
	for _, d := range e.Databases.Candidates {
		require.Equal(t, d.ID == "a", d.Eligible, "%+v", d)
		require.Equal(t, d.ID == "a", d.Role == "primary", "%+v", d)
	}
}

func reasons(e *Explanation) map[string]string {
	m := make(map[string]string)
	for _, d := range e.Databases.Candidates {
		m[d.ID] = d.Reason
	}
	return m
}

// The explanation must name the database that the routing rules of each kind of route name.
func TestExplainedDatabases(t *testing.T) {
	x := newExplained(t, false)
	for _, c := range []struct {
		database string
		kind     Kind
		want     string
		role     string
	}{
		{"fills", KindRead, "a", "primary"},
		{"fills", KindWrite, "a", "primary"},
		{"fills", KindBegin, "a", "primary"},
		{"bookings", KindRead, "b", "replica"},
		{"bookings", KindWrite, "a", "primary"},
		{"bookings", KindBegin, "a", "primary"},
		{"invoices", KindRead, "b", "replica"},
		{"invoices", KindWrite, "a", "primary"},
	} {
		e := x.explain(Query{Database: c.database, Kind: c.kind})
		require.Equal(t, Sent, e.Decision.Outcome, "%v", c)
		require.Equal(t, c.want, e.Decision.Database, "%v", c)
		require.Equal(t, c.role, e.Decision.Role, "%v", c)
		require.Len(t, e.Databases.Candidates, 3)
		require.Nil(t, e.Workspace)
		for _, d := range e.Databases.Candidates {
			require.Equal(t, d.ID == c.want, d.Chosen, "%v", c)
			require.NotEmpty(t, d.Reason, "%v", c)
			require.Equal(t, c.role == "replica" || d.ID == "a", d.Eligible, "%v", c)
		}
	}
	e := x.explain(Query{Database: "bookings"})
	require.Equal(t, map[string]string{
		"a": "higher cost (the primary is kept for writes, a connection has to be opened)",
		"b": "lowest cost",
		"c": "higher cost (another availability zone, a connection has to be opened)",
	}, reasons(e))
	require.Equal(t, "1/100", e.Databases.Floor)
	require.Empty(t, e.Decision.Conditions)
	require.Contains(t, x.explain(Query{Database: "fills"}).Decision.Conditions, "another database confirms that a still leads")
	require.Empty(t, x.explain(Query{Database: "fills", Kind: KindWrite}).Databases.Floor, "writes need no floor")
}

// A token raises the floor on routes of kind readYourWrites only, and a lower maximum age
// makes the known positions too old.
func TestExplainedFloor(t *testing.T) {
	x := newExplained(t, false)
	own := position.Position{Term: 1, Offset: 120}
	require.Equal(t, "1/100", x.explain(Query{Database: "bookings", Floor: own}).Databases.Floor)
	e := x.explain(Query{Database: "invoices", Floor: own})
	require.Equal(t, "1/120", e.Databases.Floor)
	for _, d := range e.Databases.Candidates {
		require.False(t, *d.FloorReceived, d.ID)
	}
	x.clock.now += 200
	x.observe("a", 130)
	x.clock.now += 300
	x.observe("b", 130)
	x.observe("c", 100)
	age := 100 * clock.Millisecond
	e = x.explain(Query{Database: "invoices", MaxAge: &age})
	require.Equal(t, age, e.Route.MaxAgeMillis)
	require.Equal(t, clock.Duration(300), *e.Databases.Candidates[2].LagMillis, "c lacks what the primary had 300 ms before")
	require.Zero(t, *e.Databases.Candidates[1].LagMillis)
	x.clock.now += 700
	e = x.explain(Query{Database: "invoices", MaxAge: &age})
	require.Equal(t, Sent, e.Decision.Outcome)
	require.Empty(t, e.Databases.Floor)
	require.Equal(t, []string{"the databases tell a recent position within 300 ms: the floor is not known yet"}, e.Decision.Conditions)
	x.group.RecordUnproven(x.clock.now)
	x.clock.now += 800
	e = x.explain(Query{Database: "invoices", MaxAge: &age})
	require.Equal(t, Decision{
		Outcome: Waiting, Code: "busy", Reason: "capacity", WaitMillis: shortLeadershipTimeout, Conditions: []string{},
		Why: "no recent position of the group is known, and the databases have not told any for a while",
	}, e.Decision)
}

// Databases that reads pass over must be shown with the reason.
func TestExplainedObstacles(t *testing.T) {
	x := newExplained(t, false)
	x.group.Pool("b").Latency.MarkLagging(x.clock.now.Add(clock.Minute))
	e := x.explain(Query{Database: "bookings"})
	require.Equal(t, "c", e.Decision.Database)
	require.Equal(t, "has recently lagged too far behind", reasons(e)["b"])
	require.False(t, e.Databases.Candidates[1].Eligible)
	x.group.Update(group.Entry{ID: "c", Group: "shop", Zone: "y", Address: "c", Slots: 4, Leaving: true})
	e = x.explain(Query{Database: "bookings"})
	require.Equal(t, "a", e.Decision.Database, "the others lag or leave")
	require.Equal(t, "leaving the group", reasons(e)["c"])
	for _, id := range []string{"a", "b"} {
		x.group.Update(group.Entry{ID: id, Group: "shop", Zone: "z", Address: id, Slots: 4, Leaving: true})
	}
	e = x.explain(Query{Database: "bookings"})
	require.Equal(t, Refused, e.Decision.Outcome)
	require.Equal(t, "capacity", e.Decision.Reason)

	x = newExplained(t, false)
	x.group.MarkNotPrimary("a")
	e = x.explain(Query{Database: "bookings", Kind: KindWrite})
	require.Equal(t, Waiting, e.Decision.Outcome)
	require.Equal(t, 1800*clock.Millisecond, e.Decision.WaitMillis)
	require.Equal(t, "not the primary", reasons(e)["a"])
	e = x.explain(Query{Database: "elsewhere"})
	require.Equal(t, Waiting, e.Decision.Outcome)
	require.Equal(t, "no database of the group is known", e.Decision.Why)
	require.Equal(t, 500*clock.Millisecond, e.Decision.WaitMillis)

	x = newExplained(t, false)
	x.group.MarkPrimaryInDoubt(x.clock.now)
	require.Equal(t, []string{"another database confirms that a still leads"}, x.explain(Query{Database: "bookings", Kind: KindWrite}).Decision.Conditions)
}

// Requests beyond the in-flight limit wait or are refused, and reads go elsewhere. An
// explanation takes no slot.
func TestExplainedSlots(t *testing.T) {
	x := newExplained(t, true)
	q := Query{Database: "bookings", Workspace: "north"}
	fill := func(id string, n int) {
		for range n {
			x.group.Pool(id).Limiter.Begin(false)
		}
	}
	for range 3 {
		require.Equal(t, "b", x.explain(q).Decision.Database)
	}
	require.Zero(t, x.group.Pool("b").Limiter.Preview(x.clock.now, backend.ByShare{}, backend.Request{}).InFlight)
	// The limit is 2, and a request of the most urgent class may exceed it by one.
	fill("a", 3)
	e := x.explain(Query{Database: "bookings", Workspace: "north", Kind: KindWrite})
	require.Equal(t, "a", e.Decision.Database)
	require.Len(t, e.Decision.Conditions, 1)
	require.Contains(t, e.Decision.Conditions[0], "a slot at database a becomes free")
	require.Equal(t, 3, e.Databases.Candidates[0].InFlight)

	// Under a deadline that has passed, no database gives a slot.
	v := *x.deps.Configuration.Load()
	v.Number, v.Routes = 8, map[string]*routes.Route{"bookings": {Name: "r", Database: "bookings", Group: "shop", Consistency: routes.BoundedAge, MaxAge: 1500 * clock.Millisecond}}
	require.True(t, x.deps.Configuration.Accept(&v))
	fill("b", 2)
	fill("c", 2)
	e = x.explain(q)
	require.Equal(t, Refused, e.Decision.Outcome)
	require.Equal(t, "capacity", e.Decision.Reason)
	require.Contains(t, e.Decision.Why, "too many requests wait for the database")
}

// Limits, keys and proofs decide before anything is sent, in the order of a request.
func TestExplainedRefusals(t *testing.T) {
	x := newExplained(t, true)
	e := x.explain(Query{Database: "bookings"})
	require.Equal(t, Decision{Outcome: Refused, Code: "unauthorized", Reason: "key", Why: "the route is not public, and no workspace was given", Conditions: []string{}}, e.Decision)
	require.Equal(t, Sent, x.explain(Query{Database: "open"}).Decision.Outcome)
	require.Nil(t, x.explain(Query{Database: "open", Workspace: "north"}).Workspace, "public routes run on behalf of no workspace")

	q := Query{Database: "bookings", Workspace: "north"}
	e = x.explain(q)
	require.Equal(t, Sent, e.Decision.Outcome)
	require.Equal(t, &ExplainedWorkspace{Name: "north", Rate: 60, Burst: 30, Token: "granted"}, e.Workspace)
	x.limits.LimitPreview = LimitPreview{Decision: workspace.Wait{}, Accountant: "other", Tokens: 0, Used: 11}
	e = x.explain(q)
	require.Equal(t, Sent, e.Decision.Outcome)
	require.Equal(t, []string{"accountant other grants a token within 40 ms, or the reserve of this proxy has one"}, e.Decision.Conditions)
	require.Equal(t, "awaited", e.Workspace.Token)
	for _, kind := range []Kind{KindRead, KindWrite, KindBegin} {
		x.limits.LimitPreview = LimitPreview{Rate: 60, Decision: workspace.Refused{Retry: 80}}
		e = x.explain(Query{Database: "bookings", Workspace: "north", Kind: kind})
		require.Equal(t, Decision{
			Outcome: Refused, Code: "busy", Reason: "limit", RetryMillis: 80, Conditions: []string{},
			Why: "workspace north is over its limit of 60 operations per second; retry after 80 ms",
		}, e.Decision)
		require.Len(t, e.Databases.Candidates, 3, "candidates are shown also for refused requests")
	}

	x.deps.Freshness = freshness.NewProof(revocationLimit, x.clock.now)
	e = x.explain(q)
	require.Equal(t, Refused, e.Decision.Outcome)
	require.Equal(t, "proof", e.Decision.Reason)
	require.Equal(t, Sent, x.explain(Query{Database: "open"}).Decision.Outcome, "public routes need no proof")
}

// A proxy that is no home forwards, unless it reaches no home.
func TestExplainedHomes(t *testing.T) {
	x := newExplained(t, false)
	peers, err := proxy.NewPeers("127.0.0.1:0", nil, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(peers.Close)
	var members []proxy.Peer
	for _, name := range []string{"self", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"} {
		members = append(members, proxy.Peer{Name: name, Zone: "z"})
	}
	for _, self := range members {
		x.deps.Self = self.Name
		x.deps.Homes = peer.NewHomes(self.Name, "z", peers, x.clock)
		x.deps.Homes.SetMembers(members)
		x.deps.Homes.SetConnectionLimits(map[string]int{"shop": 16})
		e := x.explain(Query{Database: "bookings", Kind: KindWrite})
		require.Equal(t, x.deps.Homes.ServesWorkspace("shop", ""), e.Homes.Local)
		require.Len(t, e.Homes.Candidates, 3)
		if e.Homes.Local {
			require.Equal(t, Sent, e.Decision.Outcome)
			continue
		}
		require.Equal(t, Forwarded, e.Decision.Outcome)
		require.Empty(t, e.Decision.Database)
		for _, h := range e.Homes.Candidates {
			require.True(t, h.Reached)
			require.Equal(t, h.Name == e.Decision.Home, h.Chosen)
			require.NotEmpty(t, h.Reason)
		}
		for _, d := range e.Databases.Candidates {
			require.False(t, d.Chosen)
		}
	}
}

// What is not declared must be named by its parameter, without the value: it may be a key.
func TestExplainRejectsUnknownNames(t *testing.T) {
	x := newExplained(t, true)
	for parameter, q := range map[string]Query{
		"database":  {Database: explainedKey, Kind: KindRead},
		"workspace": {Database: "bookings", Workspace: explainedKey, Kind: KindRead},
	} {
		_, err := Explain(&x.deps, "z", &x.limits, q)
		var rejected *ParameterError
		require.ErrorAs(t, err, &rejected)
		require.Equal(t, parameter, rejected.Parameter)
		require.True(t, rejected.Unknown)
		require.NotContains(t, err.Error(), explainedKey)
	}
	x.deps.Configuration = &routes.Current{}
	_, err := Explain(&x.deps, "z", &x.limits, Query{Database: "bookings", Kind: KindRead})
	var unconfigured *NoConfigurationError
	require.ErrorAs(t, err, &unconfigured)
}
