package virtual

import "time"

// Step is a database's response to an operation of a promoter, the proxy that
// carries out a promotion.
type Step struct {
	Operation string
	Database  int
	// Number counts the responses to this proxy's operations, from 1.
	Number int
}

// Fault is the kind of fault to inject into a promoter at a step.
type Fault int

// The faults of a promoter.
const (
	FaultNone Fault = iota
	// FaultLoseResponse loses the response after the operation took effect.
	FaultLoseResponse
	// FaultCrash takes the promoter down before it handles the response.
	FaultCrash
	// FaultPause pauses the promoter before it handles the response.
	FaultPause
)

// pauseDuration is the length of the pause of FaultPause.
const pauseDuration = 3 * time.Second

// applyFault injects the fault of a step. It returns false if the response is
// not to be handled.
func (p *Proxy) applyFault(s Step) bool {
	if p.FaultAt == nil {
		return true
	}
	switch p.FaultAt(s) {
	case FaultLoseResponse:
		return false
	case FaultCrash:
		p.Node.Down = true
		return false
	case FaultPause:
		p.world.Pause(&p.Node, pauseDuration)
	}
	return true
}
