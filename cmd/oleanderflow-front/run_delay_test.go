package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// runDelays returns for how long each thread of a process has waited for a processor since
// it began. It is empty where the kernel does not tell.
func runDelays(pid int) map[string]time.Duration {
	delays := make(map[string]time.Duration)
	directory := fmt.Sprintf("/proc/%d/task", pid)
	threads, _ := os.ReadDir(directory)
	for _, thread := range threads {
		text, _ := os.ReadFile(filepath.Join(directory, thread.Name(), "schedstat"))
		fields := strings.Fields(string(text))
		if len(fields) < 2 {
			continue
		}
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			delays[thread.Name()] = time.Duration(n)
		}
	}
	return delays
}

// watchRunDelays returns a function that returns the longest time, since its last call, for
// which a thread of a process waited for a processor. A process that is stopped does not
// wait for one.
func watchRunDelays(t *testing.T, pid int) func() time.Duration {
	const interval = 5 * time.Millisecond
	done, calls := make(chan struct{}), make(chan chan time.Duration)
	go func() {
		last, longest := runDelays(pid), time.Duration(0)
		for {
			var call chan time.Duration
			select {
			case <-done:
				return
			case call = <-calls:
			case <-time.After(interval):
			}
			next := runDelays(pid)
			for thread, delay := range next {
				if before, ok := last[thread]; ok {
					longest = max(longest, delay-before)
				}
			}
			last = next
			if call != nil {
				call <- longest
				longest = 0
			}
		}
	}()
	t.Cleanup(func() { close(done) })
	return func() time.Duration {
		call := make(chan time.Duration)
		calls <- call
		return <-call
	}
}
