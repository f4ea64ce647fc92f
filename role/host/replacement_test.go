package host

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// leaderStepsDown is more than a leader needs to see that it has lost its quorum.
const leaderStepsDown = time.Second

// loseDisk kills a control process and deletes its data folder.
func (p *fakePlatform) loseDisk(n int) {
	p.t.Helper()
	name := fmt.Sprintf("control%d", n)
	p.stop(name, syscall.SIGKILL)
	if err := os.RemoveAll(p.dataFolder(n)); err != nil {
		p.t.Fatal(err)
	}
}

// dataFolder returns the data folder of a control process.
func (p *fakePlatform) dataFolder(n int) string {
	return filepath.Join(p.folder, fmt.Sprintf("data-control%d", n))
}

// startGroup starts control processes that create a group, and returns when all have joined.
func startGroup(t *testing.T, hosts ...int) *fakePlatform {
	t.Helper()
	p := newFakePlatform(t)
	for _, n := range hosts {
		p.start("control", n, true, true)
	}
	p.putConfiguration(1, configuration(1, `"key"`))
	p.awaitConfiguration(1, hosts...)
	return p
}

// Guards against a group that is lost for good when a host loses its disk right after another
// one was replaced: of four voters two are left, and the leader that could admit the new
// replica would need three.
func TestGroupOutlivesADiskThatIsLostRightAfterAReplacement(t *testing.T) {
	for _, c := range []struct {
		name          string
		signal        syscall.Signal // that ends the replaced host
		removed, lost int
	}{
		{"a founder, planned", syscall.SIGTERM, 3, 1},
		{"a founder, unplanned", syscall.SIGKILL, 1, 2},
		{"the successor", syscall.SIGTERM, 2, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startGroup(t, 1, 2, 3)
			p.start("control", 4, true, false)
			p.await("the successor is a voter", func() bool {
				return p.countLines("control1", "becomes a voter")+p.countLines("control2", "becomes a voter")+p.countLines("control3", "becomes a voter") == 3
			})
			p.putConfiguration(4, configuration(2, `"key"`))
			p.stop(fmt.Sprintf("control%d", c.removed), c.signal)
			p.loseDisk(c.lost)
			time.Sleep(leaderStepsDown)
			p.start("control", c.lost, true, false)
			p.awaitConfiguration(2, c.lost)
			p.putConfiguration(c.lost, configuration(3, `"key"`))
		})
	}
}

// Guards against a removed replica that goes on with its old data: it must delete it and join
// as a new one.
func TestRemovedReplicaStartsAnew(t *testing.T) {
	t.Parallel()
	p := startGroup(t, 1, 2, 3)
	p.stop("control3", syscall.SIGKILL)
	kept := filepath.Join(p.folder, "kept")
	if err := os.Rename(p.dataFolder(3), kept); err != nil {
		t.Fatal(err)
	}
	p.start("control", 3, true, false)
	p.await("the old replica is removed", func() bool {
		return p.countLines("control1", voterRemoved)+p.countLines("control2", voterRemoved) > 0
	})
	p.putConfiguration(3, configuration(2, `"key"`))
	p.loseDisk(3)
	if err := os.Rename(kept, p.dataFolder(3)); err != nil {
		t.Fatal(err)
	}
	p.start("control", 3, true, false)
	p.await("the removed replica stops", func() bool { return p.countLines("control3", "The replica has stopped") == 1 })
	p.awaitConfiguration(2, 1, 2, 3)
	p.putConfiguration(3, configuration(3, `"key"`))
}
