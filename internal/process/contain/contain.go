// Package contain keeps a panic in one session, call or task from ending the
// process, which serves thousands of others.
package contain

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"go.uber.org/zap"
)

// Error reports a contained panic.
type Error struct {
	// Part is the part of the process that panicked.
	Part string
	// Value is what the panic was raised with.
	Value any
	Stack []byte
}

func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Part, e.Value) }

var count atomic.Int64

// Count returns how many panics this process has contained.
func Count() int64 { return count.Load() }

// Call calls f and returns a *Error if it panics, and the result of f otherwise.
// It counts the panic and logs it with its stack.
func Call(log *zap.Logger, part string, f func() error) (err error) {
	defer Recover(log, part, &err)
	return f()
}

// Recover contains a panic of the function that defers it, as Call does, and sets err to
// a *Error then. It must be deferred directly. Unlike Call, it needs no closure, which
// would be allocated for each statement.
func Recover(log *zap.Logger, part string, err *error) {
	v := recover()
	if v == nil {
		return
	}
	count.Add(1)
	e := &Error{Part: part, Value: v, Stack: debug.Stack()}
	log.Error("panic contained", zap.String("part", part), zap.String("value", fmt.Sprint(v)), zap.ByteString("stack", e.Stack))
	*err = e
}

// Run calls f and contains a panic as Call does.
func Run(log *zap.Logger, part string, f func()) {
	_ = Call(log, part, func() error { // already logged
		f()
		return nil
	})
}
