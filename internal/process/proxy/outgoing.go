package proxy

import (
	"context"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
)

const (
	// expiryGranularity is the minimum time between two searches for calls whose time
	// limit has passed. It bounds their cost while many calls wait.
	expiryGranularity = 2 * time.Millisecond
	// maxAnswerSize is the maximum size of an answer in several frames, in bytes.
	maxAnswerSize = 64 << 20
)

// BrokenError reports that the connection to a proxy ended before the answer to a
// request. The request may have run.
type BrokenError struct {
	Name  string
	Cause error
}

func (e *BrokenError) Error() string {
	return "connection to proxy " + e.Name + " broke: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// RemoteError is the error that a request ended with at another proxy.
type RemoteError struct{ Text string }

func (e *RemoteError) Error() string { return e.Text }

// errNotSent reports that a connection was closed before a request was queued.
var errNotSent = errors.New("the connection is closed")

// call is a request that waits for its answer. Whoever removes it from
// outgoing.pending sends one value to done, or is the caller itself.
type call struct {
	response msgp.Unmarshaler
	deadline time.Time
	done     chan error
	// parts has the parts of an answer that have arrived.
	parts []byte
}

var calls = sync.Pool{New: func() any { return &call{done: make(chan error, 1)} }}

func (c *call) release() {
	c.response, c.parts = nil, nil
	calls.Put(c)
}

// outgoing is a connection with frames that this proxy has opened. It sends
// requests on it, and matches the answers by their stream numbers.
type outgoing struct {
	stream
	name string
	log  *zap.Logger
	// now writes without waiting, nil if conn cannot.
	now *immediateWriter
	// greeted is closed when the peer's opening has arrived.
	greeted chan struct{}
	// refused is called if the peer has closed the connection without its opening.
	refused func()

	// The fields below are guarded by stream.mu.
	pending map[uint64]*call
	number  uint64
	// timer calls expire at expiry, the first deadline of the calls that were pending
	// when it was set. A call that is answered leaves it as it is, so that a busy
	// connection resets it only a few times a second. expiry is zero if it is not set.
	timer  *time.Timer
	expiry time.Time
}

// newOutgoing returns a connection over conn to the proxy with the given name. The
// opening is written together with the first request, without waiting for the
// peer's opening. The caller has to run read.
func newOutgoing(conn net.Conn, name string, log *zap.Logger, refused func()) *outgoing {
	o := &outgoing{
		stream: stream{conn: conn}, name: name, log: log, greeted: make(chan struct{}), refused: refused,
		pending: make(map[uint64]*call),
	}
	o.now = newImmediateWriter(conn)
	o.queued = queues.Get().(*queue)
	o.queued.bytes = append(o.queued.bytes, opening[:]...)
	return o
}

// open sends the opening alone.
func (o *outgoing) open() {
	o.mu.Lock()
	start := !o.writing
	o.writing = true
	o.mu.Unlock()
	if start {
		o.flush()
	}
}

// run sends a request and decodes the answer into response, which no one else uses
// once run has returned. It returns errNotSent if the connection was closed before,
// and a *FrameLengthError if the request is too long; nothing was sent in both
// cases.
func (o *outgoing) run(ctx context.Context, request msgp.Marshaler, response msgp.Unmarshaler, deadline time.Time) error {
	c := calls.Get().(*call)
	c.response, c.deadline = response, deadline
	number, start, err := o.send(c, request)
	if err != nil {
		c.release()
		return err
	}
	if start {
		o.flushWithoutWaiting()
	}
	if ctx.Done() == nil {
		err = <-c.done
	} else {
		select {
		case err = <-c.done:
		case <-ctx.Done():
			if o.forget(number) {
				err = ctx.Err()
			} else {
				err = <-c.done
			}
		}
	}
	c.release()
	return err
}

// send queues a request and returns its stream number. The caller has to write what is
// queued if start is set.
func (o *outgoing) send(c *call, request msgp.Marshaler) (number uint64, start bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeIfFullLocked(maxQueuedBytes)
	if o.err != nil {
		return 0, false, errNotSent
	}
	number = o.number + 1
	if err := o.enqueueLocked(number, frameRequest, request); err != nil {
		return 0, false, err
	}
	o.number = number
	o.pending[number] = c
	if o.expiry.IsZero() || c.deadline.Before(o.expiry) {
		o.setTimerLocked(c.deadline, time.Until(c.deadline))
	}
	start = !o.writing
	o.writing = true
	return number, start, nil
}

// flushWithoutWaiting writes what is queued as flush does. Once a write would have to wait,
// another goroutine continues: this one must not wait for longer than its time limit.
func (o *outgoing) flushWithoutWaiting() {
	runtime.Gosched() // as in flush
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.queued != nil && o.err == nil {
		q := o.queued
		o.queued = nil
		o.writes++
		o.mu.Unlock()
		n := o.now.write(q.bytes)
		if n < len(q.bytes) {
			go o.flushRest(q, n)
			o.mu.Lock()
			return
		}
		q.release()
		o.mu.Lock()
	}
	o.writing = false
}

// flushRest writes a queue from its nth byte on, and then what is queued.
func (o *outgoing) flushRest(q *queue, n int) {
	_, err := o.conn.Write(q.bytes[n:])
	q.release()
	if err != nil {
		o.close(err)
	}
	o.flush()
}

// forget removes a call. It returns false if the call is being answered.
func (o *outgoing) forget(number uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.pending[number]
	delete(o.pending, number)
	return ok
}

func (o *outgoing) setTimerLocked(at time.Time, wait time.Duration) {
	o.expiry = at
	if o.timer == nil {
		o.timer = time.AfterFunc(wait, o.expire)
	} else {
		o.timer.Reset(wait)
	}
}

// expire ends the calls whose deadline has passed.
func (o *outgoing) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	var next time.Time
	for number, c := range o.pending {
		switch {
		case !c.deadline.After(now):
			delete(o.pending, number)
			c.done <- context.DeadlineExceeded
		case next.IsZero() || c.deadline.Before(next):
			next = c.deadline
		}
	}
	o.expiry = time.Time{}
	if !next.IsZero() && o.err == nil {
		o.setTimerLocked(next, max(next.Sub(now), expiryGranularity))
	}
}

// read receives answers until the connection ends. All calls that are still pending
// fail then.
func (o *outgoing) read() {
	r := newFrameReader(o.conn)
	err := r.readOpening(0)
	if err == nil {
		close(o.greeted)
		err = o.readAnswers(r)
	} else if !o.wasDropped() {
		o.refused()
	}
	if isProtocolError(err) {
		o.log.Warn("connection to peer closed", zap.String("peer", o.name), zap.Error(err))
	}
	o.fail(err)
}

// isProtocolError reports whether a connection ended because of what the peer sent.
func isProtocolError(err error) bool {
	var length *FrameLengthError
	var kind *FrameKindError
	var decode *DecodeError
	return errors.As(err, &length) || errors.As(err, &kind) || errors.As(err, &decode) || errors.Is(err, errNotFrames)
}

// wasDropped reports whether this proxy has closed the connection.
func (o *outgoing) wasDropped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return errors.Is(o.err, errDropped)
}

func (o *outgoing) readAnswers(r *frameReader) error {
	for {
		f, err := r.next()
		if err != nil {
			return err
		}
		if err := o.handle(f); err != nil {
			return err
		}
	}
}

// handle passes a frame to the call that it answers. Frames of calls that were given
// up are dropped.
func (o *outgoing) handle(f frame) error {
	if f.kind == frameRequest {
		return &FrameKindError{Kind: uint8(f.kind)}
	}
	o.mu.Lock()
	c := o.pending[f.number]
	if c == nil {
		o.mu.Unlock()
		return nil
	}
	if f.kind == framePart {
		defer o.mu.Unlock()
		if length := len(c.parts) + len(f.payload); length > maxAnswerSize {
			// Its other parts are dropped.
			delete(o.pending, f.number)
			c.done <- &AnswerLengthError{Length: length}
			return nil
		}
		c.parts = append(c.parts, f.payload...)
		return nil
	}
	delete(o.pending, f.number)
	o.mu.Unlock()
	if f.kind == frameError {
		c.done <- &RemoteError{Text: string(f.payload)}
		return nil
	}
	payload := f.payload
	if len(c.parts) > 0 {
		payload = append(c.parts, payload...)
	}
	err := decodeMessage(o.log, c.response, payload)
	c.done <- err
	return err
}

var errTrailing = errors.New("bytes after the end of the message")

// decodeMessage decodes a message that is the whole of payload. It returns a
// *DecodeError if that fails.
func decodeMessage(log *zap.Logger, message msgp.Unmarshaler, payload []byte) error {
	err := contain.Call(log, "decoding of an answer", func() error {
		rest, err := message.UnmarshalMsg(payload)
		if err == nil && len(rest) > 0 {
			err = errTrailing
		}
		return err
	})
	if err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}

// fail closes the connection because of err, and ends all calls.
func (o *outgoing) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeLocked(err)
	if o.timer != nil {
		o.timer.Stop()
	}
	for number, c := range o.pending {
		delete(o.pending, number)
		c.done <- &BrokenError{Name: o.name, Cause: o.err}
	}
}
