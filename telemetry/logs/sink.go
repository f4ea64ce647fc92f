package logs

import (
	"io"
	"os"
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
// the oldest warnings; how many went is written too.
type sink struct {
	out io.Writer
	now func() time.Time

	mu       sync.Mutex
	ordinary [][]byte
	urgent   [][]byte // warnings and errors
	bytes    int
	dropped  int
	budget   float64 // bytes that may be written now
	filledAt time.Time
	running  bool
	idle     *sync.Cond // signalled when all is written
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
	line := append([]byte(nil), e.Value()...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Level >= log.WarnLevel {
		s.urgent = append(s.urgent, line)
	} else {
		s.ordinary = append(s.ordinary, line)
	}
	s.bytes += len(line)
	for s.bytes > sinkBytes {
		s.dropOldest()
	}
	if !s.running {
		s.running = true
		go s.run()
	}
	return len(line), nil
}

func (s *sink) dropOldest() {
	lane := &s.ordinary
	if len(*lane) == 0 {
		lane = &s.urgent
	}
	s.bytes -= len((*lane)[0])
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
	for _, lane := range []*[][]byte{&s.urgent, &s.ordinary} {
		for len(*lane) > 0 && s.budget > 0 {
			line := (*lane)[0]
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
