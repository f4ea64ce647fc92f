//go:build prove

package host

import (
	"fmt"
	"testing"
	"time"
)

// warm has each host forward calls until it has kept connections to all processes.
func (g *silentGroup) warm(rounds int) {
	for range rounds {
		for _, n := range g.hosts {
			g.operatorCall(n, "GET", "/configuration", nil)
		}
	}
}

// Guards against an order that isn't acknowledged in time, as each host that is asked has
// dead connections only.
func TestOrderIsAcknowledgedInTimeAfterConnectionsFellSilent(t *testing.T) {
	for _, disks := range []int{3, 6, 8} {
		t.Run(fmt.Sprintf("%d disks", disks), func(t *testing.T) {
			g := newSilentGroup(t, disks, 5)
			g.warm(15)
			g.silence(g.hosts...)
			time.Sleep(3 * time.Second)
			g.version++
			body := []byte(configuration(g.version, `"key"`))
			began := time.Now()
			backoff := 100 * time.Millisecond
			for i := 0; ; i++ {
				n := disks + 1 + i%5
				status, _, _ := g.once(n, "PUT", "/configuration", body)
				if status == 200 {
					break
				}
				if time.Since(began) > awaitTimeout {
					t.Fatalf("not acknowledged within %v", awaitTimeout)
				}
				time.Sleep(backoff)
				backoff *= 2
			}
			took := time.Since(began)
			if took > acknowledgeWithin {
				t.Errorf("acknowledged after %v, allowed are %v", took, acknowledgeWithin)
			}
		})
	}
}
