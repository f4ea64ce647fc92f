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
				if l.count(s) == outcomeRefused {
					time.Sleep(resendPause)
				}
			}
		})
	}
	return l
}

type outcome int

const (
	outcomeRight outcome = iota
	outcomeRefused
	outcomeFaulty
)

func (l *load) count(s *stream) outcome {
	result := s.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s.right():
		l.right++
		return outcomeRight
	case result.NotRun() && result.RetryAfter() != "":
		l.refused++
		return outcomeRefused
	case !s.honest():
		l.wrong = append(l.wrong, describe(result))
	}
	l.faulty = append(l.faulty, describe(result))
	return outcomeFaulty
}

func (l *load) stop() {
	close(l.end)
	l.jobs.Wait()
}

// sleep lets a trial run on; its checks depend on counters, not on the time.
func sleep(d time.Duration) { time.Sleep(d) }
