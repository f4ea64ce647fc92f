// Package logs writes structured log lines. Each part of a process has its own
// logger, which adds the part's name to every line. Prompts and keys are never
// logged.
package logs

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// rateLimitInterval is the minimum time between two lines under one key of a
// rate-limited warning.
const rateLimitInterval = 10 * time.Second

// maxRateLimitKeys bounds the keys that a logger keeps; at the bound it forgets
// them all and starts again.
const maxRateLimitKeys = 1024

var levels = []string{"debug", "info", "warn", "error"}

// minLevel is the lowest level that loggers write.
var minLevel atomic.Uint32

func init() { minLevel.Store(uint32(log.InfoLevel)) }

// CheckLevel returns an error, for the flag --log-level, if name is not a level.
func CheckLevel(name string) error {
	if !slices.Contains(levels, name) {
		return fmt.Errorf("--log-level: %q is not one of %v", name, levels)
	}
	return nil
}

// SetLevel sets the lowest level that all loggers of the process write: "debug",
// "info", "warn" or "error".
func SetLevel(name string) { minLevel.Store(uint32(log.ParseLevel(name))) }

// Logger writes the structured log lines of one part.
type Logger struct {
	base *log.Logger

	mu     sync.Mutex
	limits map[string]*rateLimit
}

// rateLimit holds when the last line of a key was written and how many lines
// were left out since.
type rateLimit struct {
	writtenAt time.Time
	leftOut   int
}

// For returns a logger for a part, such as "entry" or "control".
func For(part string) *Logger {
	return &Logger{
		base: &log.Logger{
			Level:   log.DebugLevel,
			Writer:  stdoutSink,
			Context: log.NewContext(nil).Str("part", part).Value(),
		},
		limits: make(map[string]*rateLimit),
	}
}

// Debug starts a line at debug level, which traces a single request. Msg writes it.
func (l *Logger) Debug() *log.Entry { return l.atLevel(log.DebugLevel, l.base.Debug) }

// Info starts a line about normal operation. Msg writes it.
func (l *Logger) Info() *log.Entry { return l.atLevel(log.InfoLevel, l.base.Info) }

// Warn starts a line about a failure that the process handles. Msg writes it.
func (l *Logger) Warn() *log.Entry { return l.atLevel(log.WarnLevel, l.base.Warn) }

// Error starts a line about a failure that needs an operator's attention. Msg
// writes it.
func (l *Logger) Error() *log.Entry { return l.atLevel(log.ErrorLevel, l.base.Error) }

// RateLimitedWarn starts a warning about a failure that may recur often. A line
// is written at most every ten seconds for each key, with the number of lines
// left out in between.
func (l *Logger) RateLimitedWarn(key string) *log.Entry {
	leftOut, write := l.allow(key)
	if !write {
		return nil // the methods of a nil entry do nothing
	}
	entry := l.Warn()
	if leftOut > 0 {
		entry = entry.Int("left_out", leftOut)
	}
	return entry
}

func (l *Logger) atLevel(lineLevel log.Level, start func() *log.Entry) *log.Entry {
	if uint32(lineLevel) < minLevel.Load() {
		return nil
	}
	return start()
}

func (l *Logger) allow(key string) (leftOut int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) >= maxRateLimitKeys {
		clear(l.limits)
	}
	r, known := l.limits[key]
	if known && time.Since(r.writtenAt) < rateLimitInterval {
		r.leftOut++
		return 0, false
	}
	if known {
		leftOut = r.leftOut
	}
	l.limits[key] = &rateLimit{writtenAt: time.Now()}
	return leftOut, true
}
