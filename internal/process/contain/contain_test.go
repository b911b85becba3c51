package contain

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// A contained panic is an error that names its part, is counted, and is logged
// with its stack.
func TestPanicIsContainedCountedAndLogged(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	log := zap.New(core)
	before := Count()
	err := Call(log, "session", func() error {
		panic("unexpected message")
	})
	var contained *Error
	require.ErrorAs(t, err, &contained)
	require.Equal(t, "session", contained.Part)
	require.Contains(t, string(contained.Stack), "contain_test.go")
	require.Equal(t, before+1, Count())
	fields := logged.FilterMessage("panic contained").All()[0].ContextMap()
	require.Equal(t, "session", fields["part"])
	require.Equal(t, "unexpected message", fields["value"])

	failure := errors.New("no panic")
	require.ErrorIs(t, Call(log, "session", func() error { return failure }), failure)
	Run(log, "task", func() {})
	require.Equal(t, before+1, Count())
	require.Equal(t, 1, logged.Len())
}
