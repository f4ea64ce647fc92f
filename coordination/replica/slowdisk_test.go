package replica

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/state/wal"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// slowDisk is a disk whose syncs take the time that links hold for its replica.
type slowDisk struct {
	wal.FileSystem
	links   *virtualLinks
	address string
}

type slowFile struct {
	wal.File
	disk slowDisk
}

func (d slowDisk) Create(path string) (wal.File, error) {
	f, err := d.FileSystem.Create(path)
	return slowFile{f, d}, err
}

func (f slowFile) Sync() error {
	f.disk.links.mu.Lock()
	took := f.disk.links.syncTimes[f.disk.address]
	f.disk.links.mu.Unlock()
	time.Sleep(took)
	return f.File.Sync()
}

// TestGroupCommitsOnceDiskThatBlockedGoesOn blocks one sync of the leader, or of a
// follower that the quorum needs.
func TestGroupCommitsOnceDiskThatBlockedGoesOn(t *testing.T) {
	const blocked = 5 * time.Second
	for _, ofLeader := range []bool{true, false} {
		bubble.Run(t, func(t *testing.T) {
			links := startVirtual(t, Options{}, 3)
			leader := links.leader()
			others := links.others(leader)
			host, bound := leader.options.Address, recoveryTicks*defaultTickInterval
			if !ofLeader {
				host, bound = others[0], bound+blocked
				links.setAway(others[1])
			}
			links.setSyncTime(host, blocked)
			go func() { _, _ = leader.Propose(t.Context(), command("waits")) }()
			time.Sleep(defaultTickInterval)
			links.setSyncTime(host, 0)
			if !links.commitsWithin(t, bound) {
				t.Errorf("blocked disk of the leader: %v; nothing was committed within %v", ofLeader, bound)
			}
		})
	}
}
