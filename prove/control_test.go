//go:build prove

package prove

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/cluster"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

const (
	repairLimit = 30 * time.Second
	freshFor    = 4 * time.Second // a process that is cut off takes no new work after this
)

// TestControlFolderLostThenSecondHost robs each control replica in turn of its
// folder and loses a second host right after the repair: no change is lost.
func TestControlFolderLostThenSecondHost(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1"))
	for i, robbed := range f.Controls {
		f.putOrganisation(fmt.Sprintf("before%d", i))
		old := f.identityAt(robbed.Address)
		f.must(robbed.Kill())
		f.must(os.RemoveAll(robbed.DataFolder))
		f.putOrganisation(fmt.Sprintf("during%d", i))
		f.must(robbed.Start())
		f.must(f.AwaitVoter(t.Context(), robbed.Address, old, repairLimit))
		second := f.Controls[(i+1)%len(f.Controls)]
		f.must(second.Kill())
		f.putOrganisation(fmt.Sprintf("after%d", i))
		f.requireOrganisations(3 * (i + 1))
		f.must(second.Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.completeWithin(serveLimit, 0, "after all repairs", 8)
	f.checkInvariants()
}

func (f *fixture) putOrganisation(name string) {
	f.t.Helper()
	f.must(f.PutContract(f.t.Context(), cluster.AmpleContract("organisation-"+name, "key-"+name)))
}

func (f *fixture) requireOrganisations(want int) {
	f.t.Helper()
	out, err := f.Ctl(f.t.Context(), "contract", "list")
	f.must(err)
	if got := strings.Count(out, "organisation-"); got != want {
		f.t.Errorf("%d of %d contracts are left:\n%s", got, want, out)
	}
}

func (f *fixture) identityAt(address string) string {
	f.t.Helper()
	voters, err := f.Voters(f.t.Context())
	f.must(err)
	for _, voter := range voters {
		if voter.Address == address {
			return voter.ID
		}
	}
	f.t.Fatalf("no voter at %s among %v", address, voters)
	return ""
}

// TestEntryCutOffFromAllStopsTakingWork cuts an entry off from every process
// that could tell it of changes: it refuses new work, and serves once healed.
func TestEntryCutOffFromAllStopsTakingWork(t *testing.T) {
	f := start(t, true, engine("engine1", "dc1"), booking("dc3"))
	all := f.Links.ProxiesOf("entry1", func(string) bool { return true })
	for _, proxy := range all {
		proxy.Partition()
	}
	sleep(freshFor)
	if result := f.book(0, "cut-off"); !result.SendingNotRun() || result.RetryAfter() == "" {
		t.Errorf("a booking through the entry cut off: %s", describe(result))
	}
	f.must(f.PutContract(t.Context(), cluster.AmpleContract("prover", key)))
	for _, proxy := range all {
		proxy.Heal()
	}
	f.completeWithin(serveLimit, 0, "healed", 8)
	if runs := f.keyRuns("cut-off"); runs != 0 {
		t.Errorf("the refused booking ran %d times", runs)
	}
	f.checkInvariants()
}

// TestBookingsOverSilentLinks makes one kind of link after the other silent
// while bookings run, and callers resend through both entries at once.
func TestBookingsOverSilentLinks(t *testing.T) {
	f := start(t, true, engine("engine1", "dc1"), booking("dc3", "--service-ms=200"))
	f.bookDeadline = 5 * time.Second // an answer lost on the last link is waited for that long
	links := [][2]string{
		{"entry1", "control1"}, {"entry1", "control2"}, {"entry1", "control3"},
		{"entry1", "agent-booking"}, {"entry2", "agent-booking"}, {"agent-booking", "booking"},
	}
	for i, ends := range links {
		for _, direction := range []faultproxy.Direction{faultproxy.Up, faultproxy.Down, faultproxy.Both} {
			visit := fmt.Sprintf("visit-%d-%d", i, direction)
			proxy, err := f.Links.Between(ends[0], ends[1])
			f.must(err)
			silenced := time.AfterFunc(100*time.Millisecond, func() { proxy.BlackholeConnections(direction) })
			first, second := f.bookBoth(visit)
			silenced.Stop()
			runs := f.keyRuns(visit)
			t.Logf("%s to %s, direction %d: ran %d times, %d and %d", ends[0], ends[1], direction, runs, first.Status, second.Status)
			if runs > 1 || (first.OK() || second.OK()) && runs != 1 {
				t.Errorf("ran %d times: %s and %s", runs, describe(first), describe(second))
			}
		}
	}
	f.checkInvariants()
}
