package database

import (
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Answer is what a database with a fault sends instead of an answer.
type Answer struct {
	First []byte
	// Then is sent after Pause.
	Then  []byte
	Pause time.Duration
	// Close ends the connection after the answer.
	Close bool
	// Reset has that be a reset.
	Reset bool
}

// AnswerFault returns what is sent instead of the encoded answer to a request.
// The messages of the extended protocol are answered one at a time.
type AnswerFault func(request pgproto3.FrontendMessage, answer []byte) Answer

// Repeat returns a fault that sends each answer again after pause.
func Repeat(pause time.Duration) AnswerFault {
	return func(_ pgproto3.FrontendMessage, answer []byte) Answer {
		if pause == 0 {
			return Answer{First: append(append([]byte(nil), answer...), answer...)}
		}
		return Answer{First: answer, Then: answer, Pause: pause}
	}
}

// SetAnswerFault has all answers replaced by those of f, nil for none. The
// messages that start a connection are left as they are.
func (d *Database) SetAnswerFault(f AnswerFault) {
	if f == nil {
		d.answerFault.Store(nil)
		return
	}
	d.answerFault.Store(&f)
}

// answerWriter applies the database's answer fault to what a session sends.
type answerWriter struct {
	net.Conn
	session *session
}

func (w *answerWriter) Write(answer []byte) (int, error) {
	fault := w.session.database.answerFault.Load()
	if fault == nil || w.session.request == nil {
		return w.Conn.Write(answer)
	}
	sent := (*fault)(w.session.request, answer)
	if _, err := w.Conn.Write(sent.First); err != nil {
		return 0, err
	}
	if len(sent.Then) > 0 {
		w.session.database.sleep(sent.Pause)
		if _, err := w.Conn.Write(sent.Then); err != nil {
			return 0, err
		}
	}
	if tcp, ok := w.Conn.(*net.TCPConn); ok && sent.Reset {
		_ = tcp.SetLinger(0)
	}
	if sent.Close {
		return 0, io.EOF
	}
	return len(answer), nil
}
