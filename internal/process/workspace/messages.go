package workspace

import "github.com/oleanderflow/oleanderflow/pkg/clock"

// Ask asks an accountant for tokens of a workspace.
type Ask struct {
	Workspace string `json:"workspace"`
	// Want is the number of tokens wanted. Unused is the number of tokens that the
	// asking proxy gives back: they have not expired, and it will not use them.
	Want   int `json:"want"`
	Unused int `json:"unused,omitempty"`
	// Release is set by a proxy that has become accountant of the workspace. The previous
	// one grants nothing from then on. Successor is the name of the proxy that asks, empty
	// if that is of an earlier build.
	Release   bool   `json:"release,omitempty"`
	Successor string `json:"successor,omitempty"`
	// Deputy is set if the proxy that is asked is not the first accountant, as far as the
	// asking one knows. Usual is the usual demand of the workspace over all proxies, in
	// operations a second, as its accountant has told. A deputy does not know it.
	Deputy bool    `json:"deputy,omitempty"`
	Usual  float64 `json:"usual,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Workspace string `json:"workspace"`
	Tokens    int    `json:"tokens"`
	// LifeMillis is how long after the request was sent the tokens may be taken.
	LifeMillis clock.Duration `json:"lifeMillis,omitempty"`
	// RetryMillis is the time after which there is capacity again, if Tokens is less
	// than what was wanted.
	RetryMillis clock.Duration `json:"retryMillis,omitempty"`
	// Usual is the usual demand of the workspace, see Ask.
	Usual float64 `json:"usual,omitempty"`
	// Holding is set if the answering proxy grants nothing of the workspace now. Moved
	// names the accountant then, if the answering proxy knows another one.
	Holding bool   `json:"holding,omitempty"`
	Moved   string `json:"moved,omitempty"`
	// Released is set if the answering proxy could have granted tokens of the workspace
	// itself, and grants none from now on, as it was asked to release the workspace.
	Released bool `json:"released,omitempty"`
	// HeldMillis is set in place of Released if the answering proxy held back itself: it
	// would have granted tokens after that time, and grants none. The new accountant need
	// not hold back for longer.
	HeldMillis clock.Duration `json:"heldMillis,omitempty"`
}

// Message is what a proxy asks an accountant, which may be the proxy itself. A message
// without asks asks for a sign of life.
type Message struct {
	Accountant string
	Asks       []Ask
	// Granted names workspaces of that accountant for which the sending proxy has granted
	// tokens recently, as its deputy.
	Granted []string
}
