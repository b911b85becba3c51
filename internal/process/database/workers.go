package database

import (
	"sync"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/contain"
)

// Workers run submitted tasks on a fixed number of goroutines. A task may take
// any lock, because the workers hold none while it runs.
type Workers struct {
	mu sync.Mutex
	// log is where the panics of tasks are logged.
	log   *zap.Logger
	ready *sync.Cond
	queue []func()
	done  chan struct{}
	wg    sync.WaitGroup
}

// NewWorkers starts count worker goroutines.
func NewWorkers(count int) *Workers {
	w := &Workers{log: zap.NewNop(), done: make(chan struct{})}
	w.ready = sync.NewCond(&w.mu)
	w.wg.Add(count)
	for range count {
		go w.run()
	}
	return w
}

// SetLog sets where the panics of tasks are logged. A task that panics does not
// end its worker.
func (w *Workers) SetLog(log *zap.Logger) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = log
}

// Submit queues a task. The queue is unbounded, so Submit does not wait for a
// free worker. After Close, tasks are discarded.
func (w *Workers) Submit(task func()) {
	w.mu.Lock()
	w.queue = append(w.queue, task)
	w.mu.Unlock()
	w.ready.Signal()
}

func (w *Workers) run() {
	defer w.wg.Done()
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.closed() {
			w.ready.Wait()
		}
		if w.closed() {
			w.mu.Unlock()
			return
		}
		task := w.queue[0]
		w.queue = w.queue[1:]
		log := w.log
		w.mu.Unlock()
		contain.Run(log, "control task", task)
	}
}

func (w *Workers) closed() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Close discards the queued tasks and waits for the running ones.
func (w *Workers) Close() {
	w.mu.Lock()
	close(w.done)
	w.mu.Unlock()
	w.ready.Broadcast()
	w.wg.Wait()
}
