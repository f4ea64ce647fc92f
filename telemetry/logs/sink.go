package logs

import (
	"bytes"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// sinkBufferBytes bounds the queued lines, and is the burst of the rate limit.
	sinkBufferBytes = 1 << 20
	// sinkBytesPerSecond limits the rate of writing, apart from bursts. It bounds
	// the volume of output when a failure is logged for each request. With a lower limit
	// lines are dropped sooner.
	sinkBytesPerSecond = 256 << 10
	// sinkWriteInterval is the time for which lines are gathered into one write.
	sinkWriteInterval = 20 * time.Millisecond
	// flushTimeout bounds the wait for the last lines when a process exits.
	flushTimeout = time.Second
)

// sink queues log lines without blocking the caller and writes them in the
// background at a limited rate. When the queue is full, it drops the oldest
// low-priority lines first, then the oldest high-priority ones, and writes how
// many it dropped. A warning moves the queued lines of its request to high
// priority, so that the lines of failed requests are kept rather than those of
// successful ones.
type sink struct {
	out io.Writer
	now func() time.Time

	mu           sync.Mutex
	lowPriority  []queuedLine
	highPriority []queuedLine // warnings and errors, and the lines of their requests that were queued before them
	queuedBytes  int
	dropped      int
	budgetBytes  float64 // token bucket of the rate limit
	refilledAt   time.Time
	running      bool
	idle         *sync.Cond // signalled when the queue is empty
}

// queuedLine is a log line and the id of its request, empty if it has none.
type queuedLine struct {
	text    []byte
	request string
}

// stdoutSink writes the lines of all loggers to standard output.
var stdoutSink = newSink(os.Stdout)

func newSink(out io.Writer) *sink {
	s := &sink{out: out, now: time.Now, budgetBytes: sinkBufferBytes}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// WriteEntry queues a line. It implements log.Writer and never fails.
func (s *sink) WriteEntry(e *log.Entry) (int, error) {
	text := append([]byte(nil), e.Value()...)
	line := queuedLine{text: text, request: requestOf(text)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Level >= log.WarnLevel {
		s.promote(line.request)
		s.highPriority = append(s.highPriority, line)
	} else {
		s.lowPriority = append(s.lowPriority, line)
	}
	s.queuedBytes += len(text)
	for s.queuedBytes > sinkBufferBytes {
		s.dropOldest()
	}
	if !s.running {
		s.running = true
		go s.run()
	}
	return len(text), nil
}

// promote moves the queued lines of a request to the high-priority queue.
func (s *sink) promote(request string) {
	if request == "" {
		return
	}
	s.lowPriority = slices.DeleteFunc(s.lowPriority, func(line queuedLine) bool {
		if line.request != request {
			return false
		}
		s.highPriority = append(s.highPriority, line)
		return true
	})
}

// requestFieldPrefix precedes the request's id in a line.
const requestFieldPrefix = `"request":"`

// requestOf returns the request's id in a line, empty if it has none.
func requestOf(text []byte) string {
	_, rest, found := bytes.Cut(text, []byte(requestFieldPrefix))
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(id)
}

func (s *sink) dropOldest() {
	queue := &s.lowPriority
	if len(*queue) == 0 {
		queue = &s.highPriority
	}
	s.queuedBytes -= len((*queue)[0].text)
	*queue = (*queue)[1:]
	s.dropped++
}

// run writes the queued lines until the queue is empty.
func (s *sink) run() {
	for {
		time.Sleep(sinkWriteInterval)
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		_, _ = s.out.Write(batch) // a failure of the log output can't be logged
	}
}

// nextBatch removes from the queues what the rate limit allows to be written now.
// It returns nil if the queues are empty.
func (s *sink) nextBatch() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedBytes == 0 && s.dropped == 0 {
		s.running = false
		s.idle.Broadcast()
		return nil
	}
	now := s.now()
	if !s.refilledAt.IsZero() {
		elapsed := max(0, now.Sub(s.refilledAt))
		s.budgetBytes = min(sinkBufferBytes, s.budgetBytes+elapsed.Seconds()*sinkBytesPerSecond)
	}
	s.refilledAt = now
	batch := []byte{}
	if s.dropped > 0 {
		batch = append(batch, `{"level":"warn","part":"logs","dropped":`...)
		batch = strconv.AppendInt(batch, int64(s.dropped), 10)
		batch = append(batch, `,"message":"Lines were dropped, ordinary ones first."}`+"\n"...)
		s.dropped = 0
		s.budgetBytes -= float64(len(batch))
	}
	for _, queue := range []*[]queuedLine{&s.highPriority, &s.lowPriority} {
		for len(*queue) > 0 && s.budgetBytes > 0 {
			line := (*queue)[0].text
			*queue = (*queue)[1:]
			batch = append(batch, line...)
			s.queuedBytes -= len(line)
			s.budgetBytes -= float64(len(line))
		}
	}
	return batch
}

// flush waits until all lines are written; it drops those left after the limit.
func (s *sink) flush(limit time.Duration) {
	timer := time.AfterFunc(limit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queuedBytes, s.dropped, s.lowPriority, s.highPriority, s.running = 0, 0, nil, nil, false
		s.idle.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running {
		s.idle.Wait()
	}
}

// Flush waits until the queued lines are written, for a second at most. A process
// calls it before it exits.
func Flush() { stdoutSink.flush(flushTimeout) }
