//go:build prove

package prove

import (
	"fmt"
	"sync"
	"time"
)

// load sends short streamed completions from several workers until it is stopped.
type load struct {
	stopped chan struct{}
	workers sync.WaitGroup

	mu      sync.Mutex
	correct int
	refused int
	failed  []string // neither correct nor refused as not run
	wrong   []string // not a correct prefix, or later than the deadline allows
}

func (f *fixture) startLoad(workers, tokens int) *load {
	l := &load{stopped: make(chan struct{})}
	for worker := range workers {
		l.workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stopped:
					return
				default:
				}
				s := f.startStream(worker%len(f.Entries), fmt.Sprintf("job %d request %d", worker, i), tokens)
				if !l.count(s) {
					time.Sleep(retryInterval)
				}
			}
		})
	}
	return l
}

// count records a stream and reports whether its answer is correct.
func (l *load) count(s *stream) bool {
	result := s.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.correctPrefix() || result.Total > wholeAnswerLimit+deadlineSlack {
		l.wrong = append(l.wrong, describe(result))
	}
	switch {
	case s.correct():
		l.correct++
		return true
	case result.NotRun() && result.RetryAfter() != "":
		l.refused++
	default:
		l.failed = append(l.failed, describe(result))
	}
	return false
}

func (l *load) stop() {
	close(l.stopped)
	l.workers.Wait()
}

// sleep waits while load, probes or faults run on.
func sleep(d time.Duration) { time.Sleep(d) }
