// Package workspace limits the operations of each workspace over all proxies. An
// Accountant hands out tokens for the workspaces that a proxy accounts for, and an
// Allowance holds the tokens that a proxy has been granted. Neither opens a socket or
// reads a clock. They are made for 78 workspaces of 1 to 300 operations a second on
// 115 proxies, and for 4,900 proxies: both keep state only for workspaces in use.
package workspace

import (
	"math"

	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// Limit is the declared limit of a workspace.
type Limit struct {
	// Rate is the number of operations a second, over all proxies. Zero means no limit.
	Rate float64
	// Burst is the number of operations that may run at once on top of Rate.
	Burst float64
}

// Quota states how many operations may arrive at databases in a window of time:
// (rate x window + burst) x (1 + Overshoot) + Slack.
type Quota struct {
	Window    clock.Duration
	Overshoot float64
	Slack     float64
}

// DefaultQuota is the quota where the settings name none.
func DefaultQuota() Quota { return Quota{Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20} }

// seconds returns a duration in seconds.
func seconds(d clock.Duration) float64 { return float64(d) / float64(clock.Second) }

// millis returns a time in seconds as a duration, rounded up.
func millis(s float64) clock.Duration { return clock.Duration(math.Ceil(s * float64(clock.Second))) }

// Allowed returns how many operations may arrive in a window.
func (q Quota) Allowed(l Limit) float64 {
	return l.Rate*seconds(q.Window) + l.Burst + q.tolerance(l)
}

// tolerance is what may arrive in a window beyond rate and burst.
func (q Quota) tolerance(l Limit) float64 {
	return (l.Rate*seconds(q.Window)+l.Burst)*q.Overshoot + q.Slack
}

// grantsShare is the share of the tolerance that is added to the depth of a bucket.
// The rest covers reserves that are used while the accountant grants to others.
const grantsShare = 0.5

// Depth returns the maximum number of tokens that are in a bucket or have been granted
// and may still be used. Tokens under way count, so that a workspace that runs at 0.62 of
// its rate, which has 0.31 s of its rate under way, can still use its whole burst at once.
func (q Quota) Depth(l Limit) float64 {
	return max(l.Burst+q.tolerance(l)*grantsShare, 1)
}

const (
	// lifeShare is the life of a token, and sendShare the time that an operation may
	// take from its token to a database, as shares of Overshoot x Window.
	lifeShare = 0.8
	sendShare = 0.2
	// minLife and minSend are a few round trips between zones. maxLife and maxSend
	// bound how late a lowered limit is noticed.
	minLife, maxLife = 50 * clock.Millisecond, clock.Second
	minSend, maxSend = 20 * clock.Millisecond, 250 * clock.Millisecond
	// maxUnderWay is the maximum share of the depth that tokens under way may take at
	// the full rate. More would keep a workspace with a small burst below its rate.
	maxUnderWay = 0.6
)

// Life returns how long a token may be taken after the request for it was sent.
func (q Quota) Life(l Limit) clock.Duration {
	life := min(max(millis(q.Overshoot*seconds(q.Window)*lifeShare), minLife), maxLife)
	if l.Rate > 0 {
		life = min(life, max(millis(maxUnderWay*q.Depth(l)/l.Rate)-q.SendTime(), minLife))
	}
	return life
}

// SendTime returns how long after it took a token an operation may be sent.
func (q Quota) SendTime() clock.Duration {
	return min(max(millis(q.Overshoot*seconds(q.Window)*sendShare), minSend), maxSend)
}
