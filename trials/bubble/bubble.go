// Package bubble runs tests in virtual time, in a bubble of testing/synctest.
package bubble

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

var (
	mu      sync.Mutex
	running int // number of tests in a bubble
)

// Run runs a test in a bubble with virtual time. Logging is off in the meantime: the
// goroutine that writes the log would be started in the bubble, and a bubble can't end
// while one of its goroutines runs.
func Run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	silence(1)
	defer silence(-1)
	synctest.Test(t, test)
}

// silence changes the number of running tests and enables logging only if it is 0.
func silence(change int) {
	mu.Lock()
	defer mu.Unlock()
	running += change
	if running > 0 {
		logs.SetLevel("panic")
	} else {
		logs.SetLevel("info")
	}
}
