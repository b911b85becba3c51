package proxy

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
)

// incoming is a connection with frames that another proxy has opened. Each request
// is served in a goroutine of its own.
type incoming struct {
	stream
	receiver Receiver
	workers  *workers
	log      *zap.Logger
	// ctx is passed to the receiver, and is done once the connection has ended.
	ctx    context.Context
	cancel context.CancelFunc
}

func newIncoming(conn net.Conn, r Receiver, w *workers, log *zap.Logger) *incoming {
	i := &incoming{stream: stream{conn: conn}, receiver: r, workers: w, log: log}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i
}

// serve answers the opening, whose first byte was read before, and serves requests
// until the connection ends.
func (i *incoming) serve() {
	defer i.cancel()
	err := i.serveRequests()
	if isProtocolError(err) {
		i.log.Warn("connection of peer closed", zap.Stringer("peer", i.conn.RemoteAddr()), zap.Error(err))
	}
	i.close(err)
}

func (i *incoming) serveRequests() error {
	r := newFrameReader(i.conn)
	if err := r.readOpening(1); err != nil {
		return err
	}
	if _, err := i.conn.Write(opening[:]); err != nil {
		return err
	}
	for {
		f, err := r.next()
		if err != nil {
			return err
		}
		if f.kind != frameRequest {
			return &FrameKindError{Kind: uint8(f.kind)}
		}
		w := works.Get().(*work)
		w.incoming, w.number = i, f.number
		w.payload = append(w.payload[:0], f.payload...)
		i.workers.run(w)
	}
}

// work is a request that is being served.
type work struct {
	incoming *incoming
	number   uint64
	payload  []byte
}

var works = sync.Pool{New: func() any { return new(work) }}

// run serves the request and sends the answer.
func (w *work) run() {
	i, number := w.incoming, w.number
	var answer msgp.Marshaler
	err := contain.Call(i.log, "call of peer method "+MethodRun, func() (err error) {
		answer, err = i.receiver.Run(i.ctx, w.payload)
		return err
	})
	w.incoming = nil
	if cap(w.payload) <= maxIdleBuffer {
		works.Put(w)
	}
	if err == nil {
		err = contain.Call(i.log, "encoding of an answer", func() error { return i.answer(number, answer) })
	}
	if err != nil && !i.fail(number, err) {
		return
	}
	i.startWriting()
}

// answer queues the answer to a request. It returns errQueueFull, and queues nothing, if
// the answer is not a short one and too much is queued.
func (i *incoming) answer(number uint64, message msgp.Marshaler) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closeIfFullLocked(maxLongAnswers)
	if i.err != nil {
		return nil
	}
	queued := i.queuedBytesLocked()
	err := i.enqueueLocked(number, frameAnswer, message)
	full := queued > maxQueuedBytes
	if err == nil && full && i.queuedBytesLocked()-queued > maxShortAnswer {
		i.takeBackLocked(queued)
		return errQueueFull
	}
	if !isTooLong(err) {
		return err
	}
	if full {
		return errQueueFull
	}
	rest, err := message.MarshalMsg(nil)
	if err != nil {
		return err
	}
	for len(rest) > maxFramePayload && err == nil {
		err = i.enqueueLocked(number, framePart, encoded(rest[:maxFramePayload]))
		rest = rest[maxFramePayload:]
	}
	if err == nil {
		err = i.enqueueLocked(number, frameAnswer, encoded(rest))
	}
	return err
}

// fail queues the error that a request ended with. It closes the connection and
// returns false if the request could not be decoded.
func (i *incoming) fail(number uint64, cause error) bool {
	var decode *DecodeError
	if errors.As(cause, &decode) {
		i.log.Warn("connection of peer closed", zap.Stringer("peer", i.conn.RemoteAddr()), zap.Error(cause))
		i.close(cause)
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.err == nil {
		_ = i.enqueueLocked(number, frameError, errorText(cause.Error())) // never too long
	}
	return true
}

// startWriting writes what is queued, unless another goroutine does.
func (i *incoming) startWriting() {
	i.mu.Lock()
	start := !i.writing && i.queued != nil
	i.writing = i.writing || start
	i.mu.Unlock()
	if start {
		i.flush()
	}
}
