// Package logs gives each part its logger. Messages are short sentences with
// the part's fixed prefix; prompts and keys are never logged.
package logs

import (
	"fmt"
	"os"
	"slices"
	"sync/atomic"

	"github.com/phuslu/log"
)

var levels = []string{"debug", "info", "warn", "error"}

// level is the least level of the loggers that For returns from now on.
var level atomic.Uint32

func init() { level.Store(uint32(log.InfoLevel)) }

// CheckLevel reports a name that is none of the levels.
func CheckLevel(name string) error {
	if !slices.Contains(levels, name) {
		return fmt.Errorf("--log-level: %q is none of %v", name, levels)
	}
	return nil
}

// SetLevel sets the least level of the loggers made after it.
func SetLevel(name string) { level.Store(uint32(log.ParseLevel(name))) }

// For returns the logger of a part, such as "entry" or "control".
func For(part string) *Logger {
	return &Logger{part: part, base: &log.Logger{
		Level:   log.Level(level.Load()),
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("part", part).Value(),
	}}
}

// Logger writes structured lines of one part.
type Logger struct {
	part string
	base *log.Logger
}

// Info starts a line of ordinary news; end it with Msg.
func (l *Logger) Info() *log.Entry { return l.base.Info() }

// Warn starts a line of a fault that the process survives.
func (l *Logger) Warn() *log.Entry { return l.base.Warn() }

// Error starts a line of a fault that needs an operator.
func (l *Logger) Error() *log.Entry { return l.base.Error() }
