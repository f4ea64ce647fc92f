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
	// sinkBytes bounds the lines that wait to be written.
	sinkBytes = 1 << 20
	// sinkRate bounds what is written in a second, beside a burst of sinkBytes.
	sinkRate = 256 << 10
	// sinkInterval gathers lines into one write.
	sinkInterval = 20 * time.Millisecond
	// flushTimeout bounds the wait for the last lines of a process.
	flushTimeout = time.Second
)

// sink takes lines without ever blocking and writes them in the background.
// When it is full, or writes too much, the oldest ordinary lines go first, then
// the oldest warnings; how many went is written too. A warning takes the waiting
// lines of its request along, so that a failed request's story is kept before
// those of good ones.
type sink struct {
	out io.Writer
	now func() time.Time

	mu       sync.Mutex
	ordinary []waitingLine
	urgent   []waitingLine // warnings and errors, with the lines of their requests
	bytes    int
	dropped  int
	budget   float64 // bytes that may be written now
	filledAt time.Time
	running  bool
	idle     *sync.Cond // signalled when all is written
}

// waitingLine is a line and the request that it is about, if any.
type waitingLine struct {
	text    []byte
	request string
}

// standard writes to the process's standard output.
var standard = newSink(os.Stdout)

func newSink(out io.Writer) *sink {
	s := &sink{out: out, now: time.Now, budget: sinkBytes}
	s.idle = sync.NewCond(&s.mu)
	return s
}

// WriteEntry implements log.Writer.
func (s *sink) WriteEntry(e *log.Entry) (int, error) {
	text := append([]byte(nil), e.Value()...)
	line := waitingLine{text: text, request: requestOf(text)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Level >= log.WarnLevel {
		s.promote(line.request)
		s.urgent = append(s.urgent, line)
	} else {
		s.ordinary = append(s.ordinary, line)
	}
	s.bytes += len(text)
	for s.bytes > sinkBytes {
		s.dropOldest()
	}
	if !s.running {
		s.running = true
		go s.run()
	}
	return len(text), nil
}

// promote moves the waiting lines of a request to the urgent ones.
func (s *sink) promote(request string) {
	if request == "" {
		return
	}
	s.ordinary = slices.DeleteFunc(s.ordinary, func(line waitingLine) bool {
		if line.request != request {
			return false
		}
		s.urgent = append(s.urgent, line)
		return true
	})
}

// requestMark comes before a request's id in a line.
const requestMark = `"request":"`

// requestOf reads the request's id from a line, empty without one.
func requestOf(text []byte) string {
	_, rest, found := bytes.Cut(text, []byte(requestMark))
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(id)
}

func (s *sink) dropOldest() {
	lane := &s.ordinary
	if len(*lane) == 0 {
		lane = &s.urgent
	}
	s.bytes -= len((*lane)[0].text)
	*lane = (*lane)[1:]
	s.dropped++
}

// run writes until nothing waits.
func (s *sink) run() {
	for {
		time.Sleep(sinkInterval)
		batch := s.take()
		if batch == nil {
			return
		}
		_, _ = s.out.Write(batch) // there is nowhere to tell that the output is gone
	}
}

// take returns what may be written now, nil when nothing waits.
func (s *sink) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes == 0 && s.dropped == 0 {
		s.running = false
		s.idle.Broadcast()
		return nil
	}
	now := s.now()
	if !s.filledAt.IsZero() {
		elapsed := max(0, now.Sub(s.filledAt))
		s.budget = min(sinkBytes, s.budget+elapsed.Seconds()*sinkRate)
	}
	s.filledAt = now
	batch := []byte{}
	if s.dropped > 0 {
		batch = append(batch, `{"level":"warn","part":"logs","dropped":`...)
		batch = strconv.AppendInt(batch, int64(s.dropped), 10)
		batch = append(batch, `,"message":"Lines were dropped, ordinary ones first."}`+"\n"...)
		s.dropped = 0
		s.budget -= float64(len(batch))
	}
	for _, lane := range []*[]waitingLine{&s.urgent, &s.ordinary} {
		for len(*lane) > 0 && s.budget > 0 {
			line := (*lane)[0].text
			*lane = (*lane)[1:]
			batch = append(batch, line...)
			s.bytes -= len(line)
			s.budget -= float64(len(line))
		}
	}
	return batch
}

// flush waits until all lines are written, or the time is over.
func (s *sink) flush(limit time.Duration) {
	timer := time.AfterFunc(limit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bytes, s.dropped, s.ordinary, s.urgent, s.running = 0, 0, nil, nil, false
		s.idle.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running {
		s.idle.Wait()
	}
}

// Flush writes the last lines. A process calls it before it ends.
func Flush() { standard.flush(flushTimeout) }
