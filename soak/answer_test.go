package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// failAnswers lets databases repeat and cut answers in phases until end.
func (h *harness) failAnswers(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
		f := standin.AnswerFaults{
			Seed: random.Uint64(), RepeatOneIn: 5 + random.IntN(40), SignedOnly: random.IntN(2) == 0, When: standin.RepeatTime(random.IntN(3)),
			MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond, Cut: standin.CutAnyhow,
		}
		if random.IntN(3) == 0 {
			f.MaxDelay = 3 * time.Second
		}
		if random.IntN(2) == 0 {
			f.CutOneIn = 50 + random.IntN(200)
		}
		h.group.SetAnswerFaults(f)
		time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
		h.group.SetAnswerFaults(standin.AnswerFaults{})
	}
}

const answerProxies, answerCallers = 6, 16

// runTexts lets callers write and read through proxies that nothing disturbs but the faults
// of the databases' answers.
func runTexts(t *testing.T, program string, seed uint64, hostile bool, length time.Duration, faults standin.AnswerFaults) {
	h := &harness{
		t: t, program: program, dir: t.TempDir(), network: reserveNetwork(t), stop: make(chan struct{}),
		acknowledged: make(map[string]string), refused: make(map[string]struct{}), ledger: newLedger(), seed: seed,
	}
	var err error
	h.group, err = standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	defer h.group.Close()
	h.startPlatform()
	h.platformLink, err = NewLink(h.platform.Address())
	require.NoError(t, err)
	defer h.platformLink.Close()
	h.platform.Configure(1, 64, 1000, standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Timeout: 1500, Target: 300, Priority: 1, Group: "shop"})
	for i := range answerProxies {
		h.proxies = append(h.proxies, h.newProcess(i))
	}
	defer h.killAll()
	h.awaitWrites()
	h.group.SetAnswerFaults(faults)
	var callers sync.WaitGroup
	for i := range answerCallers {
		callers.Go(func() { h.runWriter(i, hostile) })
	}
	time.Sleep(length)
	close(h.stop)
	callers.Wait()
	h.check()
	h.report()
}

// runWriter writes and reads back until the run is over.
func (h *harness) runWriter(i int, hostile bool) {
	x := h.newTexts(i)
	x.hostile = hostile
	var c *tracked
	for n := 0; ; n++ {
		select {
		case <-h.stop:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = h.open(h.proxies[x.random.IntN(len(h.proxies))], "fills", standin.CallerKey); err != nil {
				time.Sleep(30 * time.Millisecond)
				c = nil
				continue
			}
		}
		if n%8 == 0 && !c.begin(x) || !h.writeAndRead(c, x, fmt.Sprintf("c%d-%d", i, n), x.random.IntN(3) == 0) {
			c.Close()
			c = nil
		}
	}
}

// The texts of other runs must not hide that these checks find nothing to check.
func TestSoakPlainTextsStayWhole(t *testing.T) {
	runTexts(t, buildProgram(t), 41, false, 2*time.Second, standin.AnswerFaults{})
}

// A lone CR or LF, a blank or any other byte of a text must not end a message or vanish
// (UNASKED, MIXED).
func TestSoakHostileTextsStayWhole(t *testing.T) {
	runTexts(t, buildProgram(t), 41, true, 5*time.Second, standin.AnswerFaults{})
}

// An answer that a database sends again must not become the answer to another request
// (MIXED, REFUSED, PINNED).
func TestSoakRepeatedAnswersStayApart(t *testing.T) {
	program := buildProgram(t)
	for name, faults := range map[string]standin.AnswerFaults{
		"signed":     {RepeatOneIn: 40, SignedOnly: true, MaxDelay: 40 * time.Millisecond},
		"any":        {RepeatOneIn: 40, MaxDelay: 40 * time.Millisecond},
		"beforeNext": {RepeatOneIn: 40, When: standin.BeforeNext},
		"afterNext":  {RepeatOneIn: 40, When: standin.AfterNext},
	} {
		t.Run(name, func(t *testing.T) {
			faults.Seed, faults.MinDelay = 41, time.Millisecond
			runTexts(t, program, 41, false, 2500*time.Millisecond, faults)
		})
	}
}

// An answer that is cut anywhere must not become a success or a false promise.
func TestSoakCutAnswersAreNoSuccess(t *testing.T) {
	program := buildProgram(t)
	for name, hostile := range map[string]bool{"plain": false, "hostile": true} {
		t.Run(name, func(t *testing.T) {
			runTexts(t, program, 41, hostile, 2500*time.Millisecond, standin.AnswerFaults{Seed: 41, CutOneIn: 50, Cut: standin.CutAnyhow})
		})
	}
}
