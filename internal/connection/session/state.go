package session

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
)

// maxPrepared is the maximum number of prepared statements on a connection. A
// connection with more is reset.
const maxPrepared = 64

// maxShapeSize is the maximum size of a prepared statement's shape, in bytes. It leaves
// room for the name under which databases know the statement.
const maxShapeSize = 1<<20 - 64

// stateRequests returns the requests that bring a connection into the session's
// state before r is sent, and records that state on the connection as if they
// had succeeded. A connection in a transaction already has the session's
// variables.
func (s *Session) stateRequests(c *backend.PooledConn, r *statement.Request) []statement.Request {
	requests := s.variableRequests(c)
	if e, ok := r.Operation.(statement.Execute); ok {
		p, known := s.prepared[e.Name]
		if !known {
			return requests
		}
		if _, loaded := c.Prepared[p.Name]; !loaded {
			requests = append(requests, statement.Request{Operation: p})
			c.Prepared[p.Name] = struct{}{}
		}
	}
	return requests
}

// variableRequests returns the requests of stateRequests that load the session's
// variables.
func (s *Session) variableRequests(c *backend.PooledConn) []statement.Request {
	clear(s.requests)
	requests := s.requests[:0]
	if !c.CanAdopt(s.valueTexts) || len(c.Prepared) > maxPrepared {
		requests = append(requests, statement.Request{Operation: statement.Reset{}})
		c.MarkReset()
	}
	for _, v := range s.values {
		if c.Values[v.Name] != v.Text {
			requests = append(requests, statement.Request{Operation: v})
			c.Values[v.Name] = v.Text
		}
	}
	return requests
}

// withSharedName returns r with the name of a prepared statement replaced by
// the shared name under which databases know it. A name that the session has not
// prepared is replaced by one that no database knows.
func (s *Session) withSharedName(r *statement.Request) statement.Request {
	out := *r
	if e, ok := r.Operation.(statement.Execute); ok {
		if p, known := s.prepared[e.Name]; known {
			e.Name = p.Name
		} else {
			e.Name = unpreparedPrefix + e.Name
		}
		out.Operation = e
	}
	return out
}

// Names at databases begin with sharedPrefix if a session has prepared them, and with
// unpreparedPrefix if none has.
const (
	sharedPrefix     = 'p'
	unpreparedPrefix = "u"
)

// shortNames are names of one byte each that stand for statements whose EXECUTE has no room
// for the shared name. None of them begins with unpreparedPrefix.
const shortNames = "abcdefghijklmnopqrstvwxyz"

// prepareShort returns a name for the session's prepared statement that is not longer than
// name, and the request that prepares it, nil if there is none. The connection is reset
// before a name of it is used again: an EXECUTE whose PREPARE has failed must not run an
// earlier statement. It returns false if no name is left.
func (s *Session) prepareShort(c *backend.PooledConn, name string) (string, []statement.Request, bool) {
	p, known := s.prepared[name]
	if !known {
		return unpreparedPrefix, nil, true
	}
	for i := range shortNames {
		p.Name = shortNames[i : i+1]
		if _, taken := c.Prepared[p.Name]; taken {
			continue
		}
		c.Prepared[p.Name] = struct{}{}
		if s.tx == nil {
			c.NeedsReset = true
		} else {
			s.tx.valuesChanged = true
		}
		return p.Name, []statement.Request{{Operation: p}}, true
	}
	return "", nil, false
}

// sharedName derives the name of a prepared statement from its content. Sessions
// that use the same name for different statements do not collide on a pooled
// connection, and sessions that prepare the same statement share it. Callers choose
// the shapes, so the digest is one for which no two with the same name can be found.
func sharedName(p statement.Prepare) string {
	kind := byte('r')
	if p.Writes {
		kind = 'w'
	}
	var buffer [128]byte
	digest := sha256.Sum256(append(append(buffer[:0], kind), p.Shape...))
	return string(base64.RawURLEncoding.AppendEncode(append(buffer[:0], sharedPrefix), digest[:sharedNameSize]))
}

// sharedNameSize is the number of bytes of the digest in a shared name. PostgreSQL cuts
// names after 63 characters.
const sharedNameSize = 24

// firstFailure returns the first failure among the answers, or nil.
func firstFailure(answers []statement.Answer) *statement.Failure {
	for i := range answers {
		if f := answers[i].Failure; f != nil {
			return f
		}
	}
	return nil
}
