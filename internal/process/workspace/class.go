package workspace

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// classCount is the number of classes that are told apart. Classes of lower priority
// count as the last one.
const classCount = 4

// urgentSpan is for how long tokens are kept for more urgent operations beyond the time
// when the accountant has further ones. It allows for operations that come together, and is
// less than the life of a token, so that few expire.
const urgentSpan = 150 * clock.Millisecond

// classDemand counts the operations of a workspace by the priority of their class. It is
// designed for a workspace that asks for several times its limit: while its accountant has
// no further tokens, those that a proxy holds are kept for the more urgent operations that
// are expected until it has.
type classDemand [classCount]usage

func (c *classDemand) add(now clock.Time, priority int) {
	c[min(max(priority, 0), classCount-1)].add(now)
}

// expected returns the number of operations that are more urgent than the given priority
// and expected within span, and one standard deviation more. Fewer than one count as none:
// tokens that many proxies keep for a rare operation would expire.
func (c *classDemand) expected(now clock.Time, priority int, span clock.Duration) int {
	rate := 0.0
	for i := range min(max(priority, 0), classCount-1) {
		rate += c[i].perSecond(now)
	}
	n := rate * seconds(span)
	if n < 1 {
		return 0
	}
	return int(n + math.Sqrt(n))
}
