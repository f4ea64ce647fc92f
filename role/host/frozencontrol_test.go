package host

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against an entry that ends when control processes do not answer its quarantine.
func TestEntriesOutliveControlProcessesThatDoNotAnswerAQuarantine(t *testing.T) {
	t.Parallel()
	hosts := []int{1, 4}
	site := startCrashSite(t, hosts...)
	p := site.platform
	began := time.Now()
	var callers sync.WaitGroup
	for _, n := range hosts {
		callers.Go(func() {
			for i := 0; time.Since(began) < 3*time.Second; i++ {
				p.callWithParts(n, fmt.Sprintf("bad-%d-%d", n, i), fmt.Sprintf("f0:40,%s:100,b%d%d:1", crashingPart, n, i))
				time.Sleep(callerPause)
			}
		})
	}
	p.await("an endpoint ends", func() bool { return site.endCount() > 0 })
	for n := 2; n <= 3; n++ {
		p.signalControl(n, syscall.SIGSTOP)
	}
	callers.Wait()
	time.Sleep(4 * time.Second) // quarantines are submitted within 3 s
	for n := 2; n <= 3; n++ {
		p.signalControl(n, syscall.SIGCONT)
	}
	for _, n := range hosts {
		if log := p.log(fmt.Sprintf("entry%d", n)); strings.Contains(log, "panic") {
			t.Errorf("the entry of host %d has ended:\n%s", n, tail([]byte(log)))
		}
	}
}
