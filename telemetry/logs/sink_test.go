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

// output is a place to write to that a test can stall.
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

func line(s *sink, level log.Level, text string) {
	l := &log.Logger{Level: log.DebugLevel, Writer: s}
	l.WithLevel(level).Msg(text)
}

func TestLinesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{}
		s := newSink(o)
		for _, text := range []string{"one", "two", "three"} {
			line(s, log.InfoLevel, text)
		}
		s.flush(time.Second)
		text := o.text.String()
		if a, b, c := strings.Index(text, "one"), strings.Index(text, "two"), strings.Index(text, "three"); a < 0 || b < a || c < b {
			t.Errorf("wrote %q", text)
		}
	})
}

// An output that takes nothing for a minute blocks nobody; the newest lines and
// the warnings are kept, and the loss is told.
func TestAStalledOutputBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{stall: make(chan struct{})}
		s := newSink(o)
		long := strings.Repeat("x", 1000)
		line(s, log.WarnLevel, "the first warning")
		began := time.Now()
		for range 5000 {
			line(s, log.InfoLevel, long)
			time.Sleep(12 * time.Millisecond)
		}
		if took := time.Since(began); took != time.Minute {
			t.Errorf("the writer of lines was held up: %v", took)
		}
		if s.bytes > sinkBytes {
			t.Errorf("%d bytes wait", s.bytes)
		}
		line(s, log.WarnLevel, "the last warning")
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

// TestAFailedRequestsLinesAreKeptBeforeGoodOnes fills the buffer of a stalled
// output; of the lines that came first only those of the failed request remain.
func TestAFailedRequestsLinesAreKeptBeforeGoodOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{stall: make(chan struct{})}
		s := newSink(o)
		line(s, log.InfoLevel, "first") // taken by the write that stalls
		time.Sleep(2 * sinkInterval)
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
			t.Error("an older line of a good request was kept before newer ones")
		}
	})
}

func TestTheVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{}
		s := newSink(o)
		long := strings.Repeat("x", 1000)
		for range 20_000 { // 20 MB in 20 s, many times the rate
			line(s, log.InfoLevel, long)
			time.Sleep(time.Millisecond)
		}
		if got, most := o.length(), sinkBytes+20*sinkRate+2*len(long); got > most {
			t.Errorf("wrote %d bytes, at most %d are stated", got, most)
		}
		s.flush(time.Minute)
	})
}
