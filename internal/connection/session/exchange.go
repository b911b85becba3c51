package session

import (
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// tryLimit bounds the trying out of a connection.
const tryLimit = 150 * clock.Millisecond

// ranOn tells how a request that was sent went on a connection.
type ranOn uint8

const (
	// answered: the database has answered, with success or a failure.
	answered ranOn = iota
	// unanswered: the request was sent and its answer is missing.
	unanswered
)

// exchange sends r behind what loads the session's state, and leaves its
// answer in s.answer.
func (s *Session) exchange(g *backend.Serving, l *backend.Link, p *backend.Pool, r *statement.Request, limit clock.Duration) ranOn {
	requests := append(s.loading(l, r), s.translated(r))
	answers := make([]statement.Answer, len(requests))
	last := len(requests) - 1
	s.answer.Reset()
	answers[last] = s.answer
	sent := s.Clock.Now()
	p.Pace.Begin(sent)
	p.Gate.Begin(s.entered)
	s.entered = false
	n, err := l.Exchange(limit, requests, answers)
	now := s.Clock.Now()
	s.answer = answers[last]
	p.Gate.End(now, now.Sub(sent), err == nil && s.answer.Failure != nil && s.answer.Failure.Code == statement.CodeBusy)
	if err != nil {
		p.Pace.Abandon(now, now.Sub(sent), abandonPause)
		g.Lost(p.ID, sent)
		return unanswered
	}
	p.Pace.End(now, now.Sub(sent))
	if f := checkLoaded(answers[:last]); f != nil {
		// The statement ran on a connection that is not in the session's state.
		l.Unclear = true
		s.answer.Failure = f
	}
	g.ObservePosition(p.ID, sent, now, answers[n-1].Position)
	return answered
}

// enterShare is the part of a route's target latency for which a request may
// wait for its turn at databases. What waits longer at a busy one is late in
// any case, since each of its statements queues there too.
const enterShare = 0.25

// turnUntil returns until when the request may wait for its turn.
func (s *Session) turnUntil() clock.Time {
	return s.arrived.Add(clock.Duration(float64(s.route.TargetLatency) * enterShare))
}

// enter waits for a place at a database for new work.
func (s *Session) enter(p *backend.Pool, until clock.Time) error {
	now := s.Clock.Now()
	if err := p.Gate.Enter(now, until.Sub(now), s.route.Priority); err != nil {
		return err
	}
	s.entered = true
	return nil
}

// leave returns a place that was not used.
func (s *Session) leave(p *backend.Pool) {
	if s.entered {
		s.entered = false
		p.Gate.Cancel(s.Clock.Now())
	}
}

// abandonPause keeps reads away from a database that did not answer.
const abandonPause = 300 * clock.Millisecond

// ready brings a connection into the session's state ahead of r, and tries
// it out if it may be dead: a write that is sent on a dead connection ends in
// doubt. It reports whether the connection can be used;
// otherwise it is closed.
func (s *Session) ready(g *backend.Serving, l *backend.Link, p *backend.Pool, r *statement.Request) bool {
	requests := s.loading(l, r)
	if len(requests) == 0 {
		if !g.Doubtful(l) {
			return true
		}
		requests = append(requests, s.harmless(l))
	}
	answers := make([]statement.Answer, len(requests))
	sent := s.Clock.Now()
	if _, err := l.Exchange(tryLimit, requests, answers); err != nil {
		l.Discard()
		g.Lost(p.ID, sent)
		return false
	}
	if f := checkLoaded(answers); f != nil {
		s.Log.Warn("session state not loaded", zap.String("server", p.ID), zap.Uint64("session", s.id), logs.Error(f))
		l.Discard()
		return false
	}
	l.UsedAt = s.Clock.Now()
	return true
}

// harmless returns a request that changes nothing on a connection in the
// session's state.
func (s *Session) harmless(l *backend.Link) statement.Request {
	if len(s.values) > 0 {
		return statement.Request{Operation: s.values[0]}
	}
	l.Cleared()
	return statement.Request{Operation: statement.Reset{}}
}
