// Package bubble runs tests in virtual time.
package bubble

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

var (
	mu      sync.Mutex
	running int // tests
)

// Run runs a test in a bubble of virtual time. Nothing is logged meanwhile: the
// goroutine that writes the log would be started inside, and a bubble must not end
// before its goroutines.
func Run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	silence(1)
	defer silence(-1)
	synctest.Test(t, test)
}

// silence counts the tests that run and logs only while there are none.
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
