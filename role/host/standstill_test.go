package host

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// awayFor is the time for which hosts are frozen or stopped, longer than a leader waits until
// it makes a silent voter a learner.
const awayFor = 8 * time.Second

// Guards against a group that counts hosts which are only away as lost: they come back with
// their disks and must still count when another host loses its disk meanwhile.
func TestGroupComesBackWithTheHostsThatWereAway(t *testing.T) {
	for _, c := range []struct {
		name                  string
		hosts                 []int
		frozen, stopped, lost []int
	}{
		{"one of three is frozen, another loses its disk", []int{1, 2, 3}, []int{3}, nil, []int{1}},
		{"one of four is frozen, another loses its disk", []int{1, 2, 3, 4}, []int{4}, nil, []int{1}},
		{"two of three are frozen", []int{1, 2, 3}, []int{1, 3}, nil, nil},
		{"two of four are frozen", []int{1, 2, 3, 4}, []int{1, 3}, nil, nil},
		{"two of three are away, one of them loses its disk", []int{1, 2, 3}, nil, []int{2}, []int{1}},
		{"three of four are away, one of them loses its disk", []int{1, 2, 3, 4}, nil, []int{2, 3}, []int{1}},
		{"all are stopped", []int{1, 2, 3, 4}, nil, []int{1, 2, 3, 4}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startGroup(t, c.hosts...)
			p.putConfiguration(2, configuration(2, `"key"`))
			for _, n := range c.frozen {
				p.signalControl(n, syscall.SIGSTOP)
			}
			for _, n := range c.stopped {
				p.stop(fmt.Sprintf("control%d", n), syscall.SIGTERM)
			}
			time.Sleep(awayFor / 2)
			for _, n := range c.lost {
				p.loseDisk(n)
				time.Sleep(leaderStepsDown)
				p.start("control", n, true, false)
			}
			time.Sleep(awayFor / 2)
			for _, n := range c.frozen {
				p.signalControl(n, syscall.SIGCONT)
			}
			for _, n := range c.stopped {
				p.start("control", n, true, false)
			}
			p.awaitConfiguration(2, c.hosts...)
			p.putConfiguration(1, configuration(3, `"key"`))
			p.awaitConfiguration(3, c.hosts...)
		})
	}
}

// signalControl sends a signal to a control process.
func (p *fakePlatform) signalControl(n int, signal syscall.Signal) {
	p.t.Helper()
	if err := p.running[fmt.Sprintf("control%d", n)].Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}
