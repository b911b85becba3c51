package virtual

import "time"

// Step is one answer to a promoter's operation.
type Step struct {
	Operation string
	Database  int
	// Number counts the operations of this proxy, from 1.
	Number int
}

// Fault is what befalls a promoter at a step.
type Fault int

// The mishaps of a promoter.
const (
	FaultNone Fault = iota
	// FaultLoseResponse loses the answer after its effect.
	FaultLoseResponse
	// FaultCrash ends the promoter before it hears the answer.
	FaultCrash
	// FaultPause stops the promoter for a time before it hears the answer.
	FaultPause
)

// pauseLength is how long MishapPause stops a promoter.
const pauseLength = 3 * time.Second

// befall carries out a mishap. It returns false if the answer is not heard.
func (p *Proxy) befall(s Step) bool {
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
		p.world.Pause(&p.Node, pauseLength)
	}
	return true
}
