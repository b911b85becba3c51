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
	for {
		time.Sleep(time.Duration(200+random.IntN(1000)) * time.Millisecond)
		if time.Now().After(end) {
			return
		}
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
		if random.IntN(2) == 0 {
			f.BusyOneIn, f.ErrorText = 10+random.IntN(50), hostileParts[random.IntN(len(hostileParts))]
		}
		h.note("%+v", f)
		h.group.SetAnswerFaults(f)
		time.Sleep(min(time.Until(end), time.Duration(200+random.IntN(1000))*time.Millisecond))
		h.group.SetAnswerFaults(standin.AnswerFaults{})
		h.note("no faults of answers")
	}
}

const answerProxies, answerCallers = 6, 16

// textRun is a run of callers that write and read through proxies that nothing disturbs but
// the faults of the databases' answers.
type textRun struct {
	hostile bool
	// homes is set if databases accept too few connections for every proxy to have some.
	homes  bool
	length time.Duration
	faults standin.AnswerFaults
}

// homeConnectionLimit is a connection limit with which some of answerProxies are homes.
const homeConnectionLimit = 11

func (r textRun) run(t *testing.T, program string, seed uint64) {
	h := &harness{
		t: t, program: program, dir: t.TempDir(), network: reserveNetwork(t), stop: make(chan struct{}),
		acknowledged: make(map[string]string), refused: make(map[string]struct{}), ledger: newLedger(), seed: seed,
	}
	var err error
	h.group, err = standin.NewGroup("shop", []string{"a", "b", "c"}, 0)
	require.NoError(t, err)
	defer h.group.Close()
	if r.homes {
		h.group.ConnectionLimit = homeConnectionLimit
	}
	h.startPlatform()
	h.platformLink, err = NewLink(h.platform.Address())
	require.NoError(t, err)
	defer h.platformLink.Close()
	h.platform.Configure(1, h.group.ConnectionLimit, 1000, standin.Route{Name: "r1", Database: "fills", Kind: standin.Primary, Timeout: 1500, Target: 300, Priority: 1, Group: "shop"})
	for i := range answerProxies {
		h.proxies = append(h.proxies, h.newProcess(i))
	}
	defer h.killAll()
	h.awaitWrites()
	h.group.SetAnswerFaults(r.faults)
	var callers sync.WaitGroup
	for i := range answerCallers {
		callers.Go(func() { h.runWriter(i, r.hostile) })
	}
	time.Sleep(r.length)
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
		if n%8 == 0 && !c.begin(x) || !h.writeAndRead(c, x, fmt.Sprintf("c%d-%d", i, n), x.random.IntN(3) == 0) || n%40 == 39 {
			c.Close()
			c = nil
		}
	}
}

// Guards against violations of these runs that are not for their texts or faults.
func TestSoakPlainTextsStayWhole(t *testing.T) {
	textRun{length: 2 * time.Second}.run(t, buildProgram(t), 41)
}

// A lone CR or LF, a blank or any other byte of a text must not end a message or vanish
// (UNASKED, MIXED).
func TestSoakHostileTextsStayWhole(t *testing.T) {
	program := buildProgram(t)
	for _, homes := range []bool{false, true} {
		t.Run(fmt.Sprint("homes=", homes), func(t *testing.T) {
			faults := standin.AnswerFaults{Seed: 41, BusyOneIn: 50, ErrorText: "\nCOMPLETE forged\nREADY I 1.1"}
			textRun{hostile: true, homes: homes, length: 3 * time.Second, faults: faults}.run(t, program, 41)
		})
	}
}

// An answer that a database sends again must not become the answer to another request
// (MIXED, REFUSED, PINNED).
func TestSoakRepeatedAnswersStayApart(t *testing.T) {
	program := buildProgram(t)
	for _, c := range []struct {
		name   string
		homes  bool
		faults standin.AnswerFaults
	}{
		{"signed", false, standin.AnswerFaults{SignedOnly: true, MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond}},
		{"any", false, standin.AnswerFaults{MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond}},
		{"beforeNext", false, standin.AnswerFaults{When: standin.BeforeNext}},
		{"afterNext", false, standin.AnswerFaults{When: standin.AfterNext}},
		{"refusals", false, standin.AnswerFaults{BusyOneIn: 8, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond}},
		{"homes", true, standin.AnswerFaults{BusyOneIn: 8, MinDelay: time.Millisecond, MaxDelay: 40 * time.Millisecond}},
		{"refusalsBeforeNext", false, standin.AnswerFaults{BusyOneIn: 8, When: standin.BeforeNext}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.faults.Seed, c.faults.RepeatOneIn = 41, 40
			textRun{homes: c.homes, length: 2 * time.Second, faults: c.faults}.run(t, program, 41)
		})
	}
}

// An answer that is cut anywhere must not become a success or a false promise.
func TestSoakCutAnswersAreNoSuccess(t *testing.T) {
	program := buildProgram(t)
	for _, hostile := range []bool{false, true} {
		t.Run(fmt.Sprint("hostile=", hostile), func(t *testing.T) {
			faults := standin.AnswerFaults{Seed: 41, CutOneIn: 50, Cut: standin.CutAnyhow}
			textRun{hostile: hostile, length: 2500 * time.Millisecond, faults: faults}.run(t, program, 41)
		})
	}
}
