package proxy

import "sync/atomic"

// maxIdleWorkers is the maximum number of goroutines that wait for requests. Those
// beyond it end after their request.
const maxIdleWorkers = 8

// workers run requests, each in a goroutine of its own. A few goroutines wait for
// the next request, because a new one has to grow its stack, which is copied each
// time.
type workers struct {
	requests chan *work
	idle     atomic.Int64
	done     <-chan struct{}
}

func newWorkers(done <-chan struct{}) *workers {
	return &workers{requests: make(chan *work), done: done}
}

// run begins to serve a request and does not wait for it.
func (w *workers) run(request *work) {
	select {
	case w.requests <- request:
	default:
		go w.work(request)
	}
}

// work serves a request, and then others until there are enough idle goroutines.
func (w *workers) work(request *work) {
	for {
		request.run()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case request = <-w.requests:
			w.idle.Add(-1)
		case <-w.done:
			return
		}
	}
}
