//go:build prove

package prove

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

const (
	changeCount     = 1000
	changers        = 8    // at once
	snapshotEntries = 1000 // log entries after which a replica takes a snapshot
	snapshotSlack   = 200  // log entries that may be appended while it is written
)

// replicaStatus is the part of "status --output json" that describes the log of
// the replica that answers.
type replicaStatus struct {
	Commit        uint64 `json:"commit,string"`
	FirstLogIndex uint64 `json:"first_log_index,string"`
	SnapshotIndex uint64 `json:"snapshot_index,string"`
}

// TestThousandChangesThenRestart makes a thousand changes, kills every process and
// starts them again. The state is the same, and each replica starts from a
// snapshot and the log entries after it rather than the whole log.
func TestThousandChangesThenRestart(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"))
	var all sync.WaitGroup
	for changer := range changers {
		all.Go(func() {
			for n := range changeCount / changers {
				state := []string{"out", "in"}[n%2]
				f.ctlUntilSettled("data-centre", state, fmt.Sprint("centre", changer), "--operation-id", fmt.Sprintf("change-%d-%d", changer, n))
			}
		})
	}
	all.Wait()
	f.putOrganisation("last")
	before := f.readState()
	for _, p := range f.allProcesses() {
		f.must(p.Kill())
	}
	for _, p := range f.allProcesses() {
		f.must(p.Start())
	}
	f.must(f.AwaitReady(t.Context()))
	if after := f.readState(); after != before {
		t.Errorf("before the restart:\n%s\nafter it:\n%s", before, after)
	}
	for i := range f.Controls {
		s := f.statusOf(i)
		t.Logf("control %d: commit %d, log from %d, snapshot at %d", i+1, s.Commit, s.FirstLogIndex, s.SnapshotIndex)
		if s.SnapshotIndex == 0 || s.FirstLogIndex > s.SnapshotIndex+1 || s.Commit-s.FirstLogIndex > snapshotEntries+snapshotSlack {
			t.Errorf("control %d would replay the log from %d to %d", i+1, s.FirstLogIndex, s.Commit)
		}
	}
	f.completeWithin(serveTimeout, 0, "after the restart", 8)
	f.completeWithin(serveTimeout, 1, "after the restart", 8)
	f.checkInvariants()
}

func (f *fixture) allProcesses() []process {
	list := []process{}
	for _, c := range f.Controls {
		list = append(list, c)
	}
	for _, e := range f.Entries {
		list = append(list, e)
	}
	for _, e := range f.Endpoints {
		list = append(list, e.Agent, e)
	}
	return list
}

// readState returns the contracts, data centres and orders as JSON.
func (f *fixture) readState() string {
	f.t.Helper()
	state := ""
	for _, object := range []string{"contract", "data-centre", "order"} {
		out, err := f.Ctl(f.t.Context(), object, "list", "--output", "json")
		f.must(err)
		state += out
	}
	return state
}

func (f *fixture) statusOf(control int) replicaStatus {
	f.t.Helper()
	var status replicaStatus
	out, err := f.CtlThrough(f.t.Context(), control, "status", "--output", "json")
	f.must(err)
	f.must(json.Unmarshal([]byte(out), &status))
	return status
}

// TestColdAgainWhileGateRestarts restarts an endpoint, restarts it again while it
// is still cold, and restarts its gate, under load from both entries. No answer
// may have wrong text or come too late, and the endpoint must never get more
// attempts than it admits.
func TestColdAgainWhileGateRestarts(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	background := f.startLoad(16, 40)
	for round := range 4 {
		e := f.Endpoints[round%2]
		sleep(time.Second)
		f.must(e.Restart(t.Context(), false))
		sleep(150 * time.Millisecond)
		f.must(e.Agent.Kill())
		f.must(e.Restart(t.Context(), round < 2))
		f.must(e.Agent.Start())
		f.must(f.AwaitReady(t.Context()))
		sleep(300 * time.Millisecond)
		f.must(e.Restart(t.Context(), false))
	}
	sleep(2 * time.Second)
	background.stop()
	t.Logf("load: %d correct, %d refused, %d failed", background.correct, background.refused, len(background.failed))
	if background.correct == 0 || len(background.wrong) > 0 {
		t.Errorf("%d correct, wrong: %v", background.correct, background.wrong)
	}
	f.checkInvariants()
}

// TestMemoryFreedAfterFailures disconnects all callers while requests run: right
// after an entry or a gate was killed, with no other failure, and after the links
// from the entries were blackholed. Each time, the endpoint's memory in use
// returns to zero.
func TestMemoryFreedAfterFailures(t *testing.T) {
	f := startFleet(t, true, engineOptions("engine1", "dc1", "--cold-concurrency=16"))
	for i, c := range []struct {
		name   string
		kill   func() error
		repair func() error
	}{
		{"entry", f.Entries[0].Kill, f.Entries[0].Start},
		{"gate", f.Endpoints[0].Agent.Kill, f.Endpoints[0].Agent.Start},
		{"callers", noop, noop},
		{"links from the entries and callers", f.blackholeEntryLinks, noop},
	} {
		f.completeWithin(serveTimeout, 0, c.name, 8)
		f.completeWithin(serveTimeout, 1, c.name, 8)
		streams := f.startStreams(6, 4000+i)
		f.requireMemoryInUse(streams)
		f.must(c.kill())
		for _, s := range streams {
			s.cancel()
		}
		f.must(c.repair())
		f.must(f.AwaitReady(t.Context()))
		f.requireCorrectPrefix(streams)
		started := time.Now()
		f.checkInvariants()
		t.Logf("%s lost: no memory in use %s after the last answer", c.name, time.Since(started).Round(time.Millisecond))
	}
}

func noop() error { return nil }

func (f *fixture) requireMemoryInUse(streams []*stream) {
	f.t.Helper()
	state, err := f.Endpoints[0].State(f.t.Context())
	f.must(err)
	if state.MemoryTokensUsed == 0 || state.Running == 0 {
		f.requireCorrect(streams)
		f.t.Fatalf("%d tokens of memory and %d attempts in use before the failure", state.MemoryTokensUsed, state.Running)
	}
}

func (f *fixture) blackholeEntryLinks() error {
	for i := range f.Entries {
		proxy, err := f.Links.Between("entry"+strconv.Itoa(i+1), "agent-engine1")
		if err != nil {
			return err
		}
		proxy.BlackholeConnections(faultproxy.Both)
	}
	return nil
}
