package front

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logBuffer bounds the lines that wait for the output, in bytes.
	logBuffer = 64 << 10
	// logRate bounds the output, in bytes a second.
	logRate = 64 << 10
	// logFlush is the time between two writes.
	logFlush = 250 * time.Millisecond
)

// timeLayout is how log lines spell their time.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// LogWriter hands log lines to an output without ever blocking: what does not
// fit in the buffer, or exceeds the rate, is dropped and counted.
type LogWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped atomic.Uint64
	done    chan struct{}
	ended   chan struct{}
}

// NewLogWriter starts writing to out.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{out: out, done: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Write implements io.Writer.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(line) > logBuffer {
		l.dropped.Add(1)
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (l *LogWriter) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (l *LogWriter) Dropped() uint64 { return l.dropped.Load() }

func (l *LogWriter) run() {
	defer close(l.ended)
	ticker := time.NewTicker(logFlush)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			l.flush()
			return
		case <-ticker.C:
		}
		n := l.flush()
		// A large write is followed by as long a pause as the rate asks for.
		if rest := time.Duration(n)*time.Second/logRate - logFlush; rest > 0 {
			time.Sleep(rest)
		}
	}
}

func (l *LogWriter) flush() int {
	l.mu.Lock()
	lines := l.pending
	l.pending = l.spare[:0]
	l.mu.Unlock()
	n := len(lines)
	if n > 0 {
		if _, err := l.out.Write(lines); err != nil {
			l.dropped.Add(1)
		}
	}
	l.spare = lines
	return n
}

// Close writes what is left.
func (l *LogWriter) Close() {
	close(l.done)
	<-l.ended
}

// NewLog returns a logger that writes JSON lines through l.
func NewLog(l *LogWriter, level, instance string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.TimeEncoderOfLayout(timeLayout)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, parsed)
	return zap.New(core).With(zap.String("instance", instance)), nil
}
