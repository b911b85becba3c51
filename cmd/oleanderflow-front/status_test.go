package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/front"
	"github.com/oleanderflow/oleanderflow/internal/process/workspace"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// sharedBuffer collects the log lines of several processes.
type sharedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *sharedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *sharedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// freeAddress returns an address of a loopback address that nobody else uses: a port that
// was free on a shared one may be taken by an outgoing connection.
func freeAddress(t testing.TB) string {
	ip := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	l, err := net.Listen("tcp4", ip)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// reported is what the test reads of a process's status.
type reported struct {
	Configuration struct{ Version uint64 }
	Workspaces    struct {
		Shown []struct {
			Name, Accountant string
			Admitted         int
			Connections      int
			Rate             float64
			Refused          map[string]int
		}
		Unknown map[string]int
	}
	Keys struct {
		Shown []struct {
			KeyID, Workspace string
			SinceVersion     uint64
		}
	}
	Groups []struct {
		Name    string
		Homes   []string
		Local   bool
		Primary string
	}
}

func readStatus(t testing.TB, address string) (reported, string) {
	response, err := http.Get("http://" + address + "/status")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var r reported
	require.NoError(t, json.Unmarshal(content, &r))
	return r, string(content)
}

// keyedCaller is a session with a key of its own.
type keyedCaller struct {
	net.Conn
	number int
}

func openWithKey(t *testing.T, f *front.Front, database, key string) *keyedCaller {
	c, err := net.Dial("tcp4", f.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	k := &keyedCaller{Conn: c}
	_, err = fmt.Fprintf(c, "CONNECT %s %s\r\n", database, key)
	require.NoError(t, err)
	return k
}

// answer returns what arrives up to READY or the end of the connection.
func (c *keyedCaller) answer() string {
	var text strings.Builder
	buffer := make([]byte, 4096)
	for !strings.Contains(text.String(), "READY") {
		n, err := c.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	return text.String()
}

func (c *keyedCaller) query(id, text string) string {
	c.number++
	if _, err := fmt.Fprintf(c, "QUERY %s-%d %s\r\n", id, c.number, text); err != nil {
		return err.Error()
	}
	return c.answer()
}

// Over whole proxies, of which some are homes for others, the status must count each
// operation and each refusal once, name accountants, keys and homes, and neither it nor any
// line of the processes' logs may hold a key.
func TestStatusCountsEachRequestOnce(t *testing.T) {
	const north, south, unknown = "north-key-Zx81qq", "south-key-Yw72pp", "unknown-key-Vu63oo"
	group, err := standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	s := &testSystem{group: group, platform: standin.NewPlatform(group)}
	t.Cleanup(s.platform.Close)
	t.Cleanup(group.Close)
	write := func(version int, keys ...string) {
		s.platform.Write("op", "config", map[string]any{
			"version": version, "routes": standardRoutes, "services": []map[string]any{{"name": "shop", "connection_limit": 8}},
			"limits": map[string]any{"header_timeout_ms": 3000, "transaction_idle_ms": 60_000},
			"tenants": []map[string]any{
				{"name": "north", "api_keys": keys, "rate_per_s": 4, "burst": 4},
				{"name": "south", "api_keys": []string{south}},
			},
		})
	}
	write(1, north)
	var lines sharedBuffer
	var addresses []string
	for i := range 5 {
		settings := front.Settings{
			Name: fmt.Sprintf("front-%d", i), Zone: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", ReadyAddress: freeAddress(t), MetricsAddress: freeAddress(t),
			StoreAddress: s.platform.Address(), PromotionAddress: s.platform.Address(), ShutdownGrace: 3 * clock.Second,
			RevocationLimit: 5 * clock.Second, Quota: workspace.Quota{Window: 5 * clock.Second, Overshoot: 0.1},
		}
		writer := front.NewLogWriter(&lines)
		t.Cleanup(writer.Close)
		log, err := front.NewLog(writer, "debug", settings.Name)
		require.NoError(t, err)
		f := front.New(settings, connect(settings), clock.NewBoot(), log, front.NewMetrics())
		require.NoError(t, f.Start())
		require.NoError(t, f.StartHTTP())
		s.fronts, addresses = append(s.fronts, f), append(addresses, settings.MetricsAddress)
	}
	t.Cleanup(func() {
		for _, f := range s.fronts {
			f.Stop()
		}
	})
	for _, f := range s.fronts {
		require.Eventually(t, f.Ready, 10*time.Second, 5*time.Millisecond)
	}
	// With 8 connections for 5 proxies, three of them are homes.
	require.Eventually(t, func() bool {
		for _, address := range addresses {
			r, _ := readStatus(t, address)
			if len(r.Groups) != 1 || len(r.Groups[0].Homes) != 3 {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)

	ran, busy := map[string]int{}, map[string]int{}
	var sessions []*keyedCaller
	for i, f := range s.fronts {
		for name, key := range map[string]string{"north": north, "south": south} {
			c := openWithKey(t, f, "fills", key)
			require.Contains(t, c.answer(), "READY")
			send := func() bool {
				a := c.query(fmt.Sprint(name, i), "WRITE a v")
				failed := strings.Contains(a, "ERROR")
				switch {
				case strings.Contains(a, "BUSY"):
					busy[name]++
				case failed:
					require.Fail(t, "unexpected answer", a)
				default:
					ran[name]++
				}
				return !failed
			}
			// Accountants that have just been chosen grant nothing for some seconds.
			for limit := time.Now().Add(20 * time.Second); !send(); {
				require.True(t, time.Now().Before(limit), "no operation of %s was admitted", name)
				time.Sleep(20 * time.Millisecond)
			}
			for range 20 {
				send()
			}
			if name == "north" {
				sessions = append(sessions, c)
			}
		}
	}
	require.Positive(t, busy["north"], "the limit was not reached")
	for _, f := range s.fronts {
		require.Contains(t, openWithKey(t, f, "fills", unknown).answer(), "NOAUTH")
	}
	write(2)
	require.Eventually(t, func() bool {
		for _, address := range addresses {
			if r, _ := readStatus(t, address); r.Configuration.Version != 2 || len(r.Keys.Shown) != 1 {
				return false
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond)
	for i, c := range sessions {
		require.Contains(t, c.query(fmt.Sprint("late", i), "WRITE a v"), "NOAUTH")
		// A line that is no request ends the session, and must not be quoted in the log.
		_, _ = fmt.Fprintf(c, "CONNECT fills %s\r\n", north)
		c.answer()
	}

	admitted, refused, unknownKeys := map[string]int{}, map[string]int{}, 0
	accountants := make(map[string]bool)
	for _, address := range addresses {
		r, text := readStatus(t, address)
		for _, key := range []string{north, south, unknown} {
			require.NotContains(t, text, key)
		}
		require.Equal(t, routes.KeyID(south), r.Keys.Shown[0].KeyID)
		require.EqualValues(t, 1, r.Keys.Shown[0].SinceVersion)
		unknownKeys += r.Workspaces.Unknown["key"]
		for _, w := range r.Workspaces.Shown {
			admitted[w.Name] += w.Admitted
			for reason, n := range w.Refused {
				refused[w.Name+"/"+reason] += n
			}
			if w.Name == "north" {
				require.EqualValues(t, 4, w.Rate)
				accountants[w.Accountant] = true
			}
		}
	}
	t.Logf("ran %v, busy %v, admitted %v, refused %v, unknown %d", ran, busy, admitted, refused, unknownKeys)
	require.Len(t, accountants, 1)
	require.Equal(t, len(s.fronts), unknownKeys)
	require.Equal(t, len(sessions), refused["north/key"])
	require.Equal(t, busy["north"], refused["north/limit"]+refused["north/capacity"]+refused["north/proof"])
	require.Equal(t, busy["south"], refused["south/limit"]+refused["south/capacity"]+refused["south/proof"])
	require.Zero(t, refused["south/limit"], "the workspace has no limit")
	require.Positive(t, refused["north/limit"])
	// A request that a database refuses and that is sent again counts again.
	require.GreaterOrEqual(t, admitted["north"], ran["north"])
	require.GreaterOrEqual(t, admitted["south"], ran["south"])

	// The lines are written every 250 ms.
	require.Eventually(t, func() bool { return strings.Contains(lines.String(), `"removedKeyIds":["`+routes.KeyID(north)+`"]`) }, 5*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return strings.Contains(lines.String(), `"request":"late4-`) }, 5*time.Second, 50*time.Millisecond)
	text := lines.String()
	require.Contains(t, text, "session ended")
	for _, key := range []string{north, south, unknown} {
		require.NotContains(t, text, key)
	}
	require.Contains(t, text, routes.KeyID(unknown))
}
