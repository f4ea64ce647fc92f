//go:build prove

package prove

import (
	"fmt"
	"sync"
	"time"
)

// load sends short streams in several jobs until it is stopped.
type load struct {
	end  chan struct{}
	jobs sync.WaitGroup

	mu      sync.Mutex
	right   int
	refused int
	faulty  []string // neither right nor refused as not run
	wrong   []string // called whole but not right, or another's text
}

func (f *fixture) startLoad(jobs, tokens int) *load {
	l := &load{end: make(chan struct{})}
	for job := range jobs {
		l.jobs.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.end:
					return
				default:
				}
				s := f.startStream(job%len(f.Entries), fmt.Sprintf("job %d request %d", job, i), tokens)
				if !l.count(s) {
					time.Sleep(resendPause)
				}
			}
		})
	}
	return l
}

// count records a stream and reports whether its answer was right.
func (l *load) count(s *stream) bool {
	result := s.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.honest() || result.Total > wholeDeadline+deadlineSlack {
		l.wrong = append(l.wrong, describe(result))
	}
	switch {
	case s.right():
		l.right++
		return true
	case result.NotRun() && result.RetryAfter() != "":
		l.refused++
	default:
		l.faulty = append(l.faulty, describe(result))
	}
	return false
}

func (l *load) stop() {
	close(l.end)
	l.jobs.Wait()
}

// sleep lets a trial run on; its checks depend on counters, not on the time.
func sleep(d time.Duration) { time.Sleep(d) }
