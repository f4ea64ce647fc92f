package host

import (
	"fmt"
	"syscall"
	"testing"
)

// Guards against the loss of a leave with the process that has acknowledged it: the
// endpoint says nothing more of it, and all entries must stop sending requests to it.
func TestAcknowledgedLeaveSurvivesItsControlProcess(t *testing.T) {
	p, first, second := startFleet(t)
	if status, _ := p.operatorCall(3, "DELETE", "/replicas/"+first.id, nil); status != 200 {
		t.Fatalf("the leave was answered %d", status)
	}
	p.stop("control3", syscall.SIGKILL)
	const requests = 20
	round := 0
	for _, n := range []int{1, 4} {
		p.await("no request is sent to the endpoint that has left", func() bool {
			round++
			for i := range requests {
				id := fmt.Sprintf("left-%d-%d", round, i)
				if status, _, _ := p.request(n, "/once/x", "key", id); status != 200 || second.runCount(id) != 1 {
					return false
				}
			}
			return true
		})
	}
}
