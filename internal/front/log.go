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
	// maxBufferedBytes is the maximum size of the lines that wait for the
	// output, in bytes.
	maxBufferedBytes = 64 << 10
	// maxBytesPerSecond is the maximum output rate.
	maxBytesPerSecond = 64 << 10
	// flushInterval is the time between two writes to the output.
	flushInterval = 250 * time.Millisecond
)

// timeLayout is the layout of the time in log lines.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// LogWriter writes log lines to an output without blocking the caller: lines
// that exceed the buffer or the output rate are dropped and counted.
type LogWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the last write. It is reused for pending.
	spare   []byte
	dropped atomic.Uint64
	done    chan struct{}
	ended   chan struct{}
}

// NewLogWriter returns a LogWriter that writes to out in the background until
// it is closed.
func NewLogWriter(out io.Writer) *LogWriter {
	l := &LogWriter{out: out, done: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Write implements io.Writer. It never blocks on the output and never returns
// an error.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(line) > maxBufferedBytes {
		l.dropped.Add(1)
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (l *LogWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines. A failed write counts as one.
func (l *LogWriter) Dropped() uint64 { return l.dropped.Load() }

func (l *LogWriter) run() {
	defer close(l.ended)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			l.flush()
			return
		case <-ticker.C:
		}
		n := l.flush()
		// After a large write, wait until the average rate is within the limit.
		if rest := time.Duration(n)*time.Second/maxBytesPerSecond - flushInterval; rest > 0 {
			time.Sleep(rest)
		}
	}
}

// flush writes the pending lines and returns their size in bytes.
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

// Close writes the buffered lines and stops the background writes.
func (l *LogWriter) Close() {
	close(l.done)
	<-l.ended
}

// NewLog returns a logger that writes JSON lines of at least the given level to
// l, with long texts shortened. It returns an error if the level is unknown.
func NewLog(l *LogWriter, level, instance string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.TimeEncoderOfLayout(timeLayout)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, parsed)
	return zap.New(&shortCore{core}).With(zap.String("instance", instance)), nil
}
