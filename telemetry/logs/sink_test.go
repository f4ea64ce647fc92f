package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
)

// output is a writer that a test can block.
type output struct {
	mu    sync.Mutex
	text  bytes.Buffer
	stall chan struct{} // writes wait until it is closed
}

func (o *output) Write(p []byte) (int, error) {
	if o.stall != nil {
		<-o.stall
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) length() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Len()
}

func writeLine(s *sink, level log.Level, text string) {
	l := &log.Logger{Level: log.DebugLevel, Writer: s}
	l.WithLevel(level).Msg(text)
}

func TestLinesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{}
		s := newSink(o)
		for _, text := range []string{"one", "two", "three"} {
			writeLine(s, log.InfoLevel, text)
		}
		s.flush(time.Second)
		text := o.text.String()
		if a, b, c := strings.Index(text, "one"), strings.Index(text, "two"), strings.Index(text, "three"); a < 0 || b < a || c < b {
			t.Errorf("wrote %q", text)
		}
	})
}

// An output that blocks for a minute doesn't block the loggers. The newest lines
// and the warnings are kept, and a line says that others were dropped.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{stall: make(chan struct{})}
		s := newSink(o)
		long := strings.Repeat("x", 1000)
		writeLine(s, log.WarnLevel, "the first warning")
		began := time.Now()
		for range 5000 {
			writeLine(s, log.InfoLevel, long)
			time.Sleep(12 * time.Millisecond)
		}
		if took := time.Since(began); took != time.Minute {
			t.Errorf("logging was blocked; it took %v", took)
		}
		if s.queuedBytes > sinkBufferBytes {
			t.Errorf("%d bytes are queued", s.queuedBytes)
		}
		writeLine(s, log.WarnLevel, "the last warning")
		close(o.stall)
		s.flush(time.Minute)
		text := o.text.String()
		for _, want := range []string{"the first warning", "the last warning", "Lines were dropped"} {
			if !strings.Contains(text, want) {
				t.Errorf("%q is missing", want)
			}
		}
	})
}

// When the buffer of a stalled output is full, only the lines of the failed
// request remain of the oldest lines.
func TestLinesOfFailedRequestsAreKeptFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{stall: make(chan struct{})}
		s := newSink(o)
		writeLine(s, log.InfoLevel, "first") // passed to the write that blocks
		time.Sleep(2 * sinkWriteInterval)
		l := &log.Logger{Level: log.DebugLevel, Writer: s}
		for _, id := range []string{"good", "bad"} {
			l.Info().Str("request", id).Msg("chosen for " + id)
		}
		l.Warn().Str("request", "bad").Msg("refused")
		for range 3000 {
			l.Info().Str("request", "other").Msg(strings.Repeat("x", 1000))
		}
		close(o.stall)
		s.flush(time.Minute)
		text := o.text.String()
		chosen, refused := strings.Index(text, "chosen for bad"), strings.Index(text, "refused")
		if chosen < 0 || refused < chosen {
			t.Errorf("the failed request's lines are at %d and %d", chosen, refused)
		}
		if strings.Contains(text, "chosen for good") {
			t.Error("an old line of a successful request was kept although newer ones were dropped")
		}
	})
}

func TestWriteRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{}
		s := newSink(o)
		long := strings.Repeat("x", 1000)
		for range 20_000 { // 20 MB in 20 s, many times the rate
			writeLine(s, log.InfoLevel, long)
			time.Sleep(time.Millisecond)
		}
		if got, limit := o.length(), sinkBufferBytes+20*sinkBytesPerSecond+2*len(long); got > limit {
			t.Errorf("wrote %d bytes, the limit is %d", got, limit)
		}
		s.flush(time.Minute)
	})
}
