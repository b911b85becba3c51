package session

import (
	"hash/fnv"
	"strconv"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
)

// maxPrepared bounds the prepared names on one connection. With more, the
// connection is reset.
const maxPrepared = 64

// loading returns the requests that bring a connection into the session's
// state before r, and notes them as done. A connection that is in a
// transaction is in that state already.
func (s *Session) loading(l *backend.PooledConn, r *statement.Request) []statement.Request {
	var requests []statement.Request
	if !l.CanAdopt(s.texts) || len(l.Prepared) > maxPrepared {
		requests = append(requests, statement.Request{Operation: statement.Reset{}})
		l.MarkReset()
	}
	for _, v := range s.values {
		if l.Values[v.Name] != v.Text {
			requests = append(requests, statement.Request{Operation: v})
			l.Values[v.Name] = v.Text
		}
	}
	if r == nil {
		return requests
	}
	if e, ok := r.Operation.(statement.Execute); ok {
		p, known := s.prepared[e.Name]
		if !known {
			return requests
		}
		p.Name = sharedName(p)
		if _, loaded := l.Prepared[p.Name]; !loaded {
			requests = append(requests, statement.Request{Operation: p})
			l.Prepared[p.Name] = struct{}{}
		}
	}
	return requests
}

// translated returns r as the databases know it: by the shared names of
// prepared statements.
func (s *Session) translated(r *statement.Request) statement.Request {
	out := *r
	if e, ok := r.Operation.(statement.Execute); ok {
		if p, known := s.prepared[e.Name]; known {
			e.Name = sharedName(p)
			out.Operation = e
		}
	}
	return out
}

// sharedName names a prepared statement by its content, so that sessions
// whose callers chose the same name for different statements do not collide,
// and those that prepare the same statement share it.
func sharedName(p statement.Prepare) string {
	h := fnv.New64a()
	if p.Writes {
		_, _ = h.Write([]byte{1})
	}
	_, _ = h.Write([]byte(p.Shape))
	return "p" + strconv.FormatUint(h.Sum64(), 36)
}

// checkLoaded returns the first failure among the answers to loading
// requests.
func checkLoaded(answers []statement.Answer) *statement.Failure {
	for i := range answers {
		if f := answers[i].Failure; f != nil {
			return f
		}
	}
	return nil
}
