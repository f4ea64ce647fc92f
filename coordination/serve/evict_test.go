package serve

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// laggingCaller is a caller whose write returns some time after Interrupt.
type laggingCaller struct{ *slowCaller }

func (c laggingCaller) Interrupt() { time.AfterFunc(50*time.Millisecond, c.slowCaller.Interrupt) }

// Guards against many callers that are ended for want of memory although the bytes of one
// are enough.
func TestOnlyAsManyCallersAreEndedAsNeeded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := newSlowTestbed(t, slices.Repeat(responders{good(strings.Repeat("x", 4_000_000))}, 4)...)
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() { b.serveSlow(t.Context(), "once", laggingCaller{newSlowCaller(steadily(never))}) })
		}
		time.Sleep(2 * time.Second)
		rest := maxBufferedBytes - int(b.server.bufferedBytes.Load())
		if err := b.server.reserveBytes(rest); err != nil {
			t.Fatal(err)
		}
		var readers sync.WaitGroup
		for range 50 {
			readers.Go(func() {
				if err := b.server.awaitBytes(t.Context(), readChunkBytes); err != nil {
					t.Error(err)
				}
			})
		}
		readers.Wait()
		c := &b.server.callers
		c.mu.Lock()
		if left := len(c.queues); left != 3 {
			t.Errorf("%d of 4 callers are left", left)
		}
		c.mu.Unlock()
		b.server.releaseBytes(rest + 50*readChunkBytes)
		all.Wait()
		b.checkNoFault(t, nil)
	})
}
