// Package logs gives each part its logger. Messages are short sentences with
// the part's fixed prefix; prompts and keys are never logged.
package logs

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// repeatInterval is the least time between two lines of one repeated fault.
const repeatInterval = 10 * time.Second

// maxRepeatKeys bounds the repeated faults that a logger tells apart.
const maxRepeatKeys = 1024

var levels = []string{"debug", "info", "warn", "error"}

// level is the least level written by every logger.
var level atomic.Uint32

func init() { level.Store(uint32(log.InfoLevel)) }

// CheckLevel reports a name that is none of the levels.
func CheckLevel(name string) error {
	if !slices.Contains(levels, name) {
		return fmt.Errorf("--log-level: %q is none of %v", name, levels)
	}
	return nil
}

// SetLevel sets the least level written by every logger: "debug", "info",
// "warn" or "error".
func SetLevel(name string) { level.Store(uint32(log.ParseLevel(name))) }

// Logger writes structured lines of one part.
type Logger struct {
	base *log.Logger

	mu      sync.Mutex
	repeats map[string]*repeat
}

// repeat counts the lines of one fault that were left out.
type repeat struct {
	writtenAt time.Time
	left      int
}

// For returns the logger of a part, such as "entry" or "control".
func For(part string) *Logger {
	return &Logger{
		base: &log.Logger{
			Level:   log.DebugLevel,
			Writer:  standard,
			Context: log.NewContext(nil).Str("part", part).Value(),
		},
		repeats: make(map[string]*repeat),
	}
}

// Debug starts a line for tracing one request; end it with Msg.
func (l *Logger) Debug() *log.Entry { return l.at(log.DebugLevel, l.base.Debug) }

// Info starts a line of ordinary news; end it with Msg.
func (l *Logger) Info() *log.Entry { return l.at(log.InfoLevel, l.base.Info) }

// Warn starts a line of a fault that the process survives.
func (l *Logger) Warn() *log.Entry { return l.at(log.WarnLevel, l.base.Warn) }

// Error starts a line of a fault that needs an operator.
func (l *Logger) Error() *log.Entry { return l.at(log.ErrorLevel, l.base.Error) }

// RateLimitedWarn starts a warning of a fault that may recur often. Lines of one key
// are written at most every ten seconds, with the number left out since.
func (l *Logger) RateLimitedWarn(key string) *log.Entry {
	left, write := l.admit(key)
	if !write {
		return nil // methods of a nil entry do nothing
	}
	entry := l.Warn()
	if left > 0 {
		entry = entry.Int("left_out", left)
	}
	return entry
}

func (l *Logger) at(lowest log.Level, start func() *log.Entry) *log.Entry {
	if uint32(lowest) < level.Load() {
		return nil
	}
	return start()
}

func (l *Logger) admit(key string) (left int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.repeats) >= maxRepeatKeys {
		clear(l.repeats)
	}
	r, known := l.repeats[key]
	if known && time.Since(r.writtenAt) < repeatInterval {
		r.left++
		return 0, false
	}
	if known {
		left = r.left
	}
	l.repeats[key] = &repeat{writtenAt: time.Now()}
	return left, true
}
