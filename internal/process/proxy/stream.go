package proxy

import (
	"net"
	"runtime"
	"sync"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
)

// maxQueuedBytes is the size of queued frames beyond which a connection is closed,
// because the peer does not read them.
const maxQueuedBytes = 16 << 20

// maxLongAnswers is the size of queued frames beyond which a connection is closed to which
// answers are written. Beyond maxQueuedBytes only short ones are queued, of at most
// maxShortAnswer, so that long ones do not end the requests of others.
const (
	maxLongAnswers = maxQueuedBytes + maxAnswerSize
	maxShortAnswer = 4 << 10
)

var (
	errQueueFull  = errors.New("too many long answers wait to be sent")
	errNotReading = errors.New("the peer does not read from the connection")
	errDropped    = errors.New("the connection was dropped")
)

// queue has frames that wait to be written.
type queue struct{ bytes []byte }

// queues keeps queues for reuse. A connection holds one only while it has frames to
// write, so that idle connections need no memory for it.
var queues = sync.Pool{New: func() any { return &queue{bytes: make([]byte, 0, 1<<10)} }}

// release keeps a queue that has been written for reuse.
func (q *queue) release() {
	if cap(q.bytes) <= maxIdleBuffer {
		q.bytes = q.bytes[:0]
		queues.Put(q)
	}
}

// stream is one end of a connection with frames. The frames that are queued while a
// write is in progress are written together by the next one.
type stream struct {
	conn net.Conn

	mu sync.Mutex
	// queued is nil if no frames wait to be written.
	queued *queue
	// writing is set while a goroutine runs flush.
	writing bool
	// writes is the number of writes begun, and checked its value at the last call of
	// closeIfStuck.
	writes, checked uint64
	// err is why the connection was closed, nil while it is open.
	err error
}

// enqueueLocked queues a frame. It returns an error, and queues nothing, if the
// message cannot be encoded or does not fit into a frame.
func (s *stream) enqueueLocked(number uint64, kind frameKind, message msgp.Marshaler) error {
	q := s.queued
	if q == nil {
		q = queues.Get().(*queue)
	}
	at := len(q.bytes)
	encoded, err := message.MarshalMsg(append(q.bytes, make([]byte, frameHeaderSize)...))
	if err == nil && len(encoded)-at-frameHeaderSize > maxFramePayload {
		err = &FrameLengthError{Length: len(encoded) - at - frameLengthSize}
	}
	if err != nil {
		return err
	}
	putHeader(encoded[at:], number, kind)
	q.bytes = encoded
	s.queued = q
	return nil
}

// closeIfFullLocked closes the connection if more than limit is queued.
func (s *stream) closeIfFullLocked(limit int) {
	if s.queuedBytesLocked() > limit {
		s.closeLocked(errNotReading)
	}
}

func (s *stream) queuedBytesLocked() int {
	if s.queued == nil {
		return 0
	}
	return len(s.queued.bytes)
}

// takeBackLocked removes what was queued after the first length bytes.
func (s *stream) takeBackLocked(length int) { s.queued.bytes = s.queued.bytes[:length] }

// flush writes until no frames are queued. The caller has set s.writing.
func (s *stream) flush() {
	// The other goroutines that can run may queue frames as well. With 16 requests in
	// flight on one core, this more than halves the processor time of a request, most
	// of which is for writes.
	runtime.Gosched()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queued != nil && s.err == nil {
		q := s.queued
		s.queued = nil
		s.writes++
		s.mu.Unlock()
		_, err := s.conn.Write(q.bytes)
		q.release()
		s.mu.Lock()
		if err != nil {
			s.closeLocked(err)
		}
	}
	s.writing = false
}

// close closes the connection because of err, unless it is closed already.
func (s *stream) close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked(err)
}

func (s *stream) closeLocked(err error) {
	if s.err == nil {
		s.err = err
		s.queued = nil
		_ = s.conn.Close()
	}
}

// closeIfStuck closes the connection if the write that was in progress at the
// last call still is. It stands for a deadline of each write, which would cost a
// timer.
func (s *stream) closeIfStuck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing && s.writes == s.checked {
		s.closeLocked(errNotReading)
	}
	s.checked = s.writes
}

// errorText is the payload of a frameError.
type errorText string

// maxErrorText is the maximum length of an errorText, in bytes.
const maxErrorText = 1 << 10

// MarshalMsg implements msgp.Marshaler. The text is not encoded further.
func (t errorText) MarshalMsg(b []byte) ([]byte, error) {
	return append(b, t[:min(len(t), maxErrorText)]...), nil
}

// encoded is a part of an encoded message.
type encoded []byte

// MarshalMsg implements msgp.Marshaler.
func (e encoded) MarshalMsg(b []byte) ([]byte, error) { return append(b, e...), nil }
