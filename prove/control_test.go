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
	repairTimeout = 30 * time.Second
	staleAfter    = 4 * time.Second // after which a partitioned entry admits no new work
)

// TestControlFolderLostThenSecondHost deletes the data folder of each control
// replica in turn and kills a second replica right after the first has rejoined.
// No change is lost.
func TestControlFolderLostThenSecondHost(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"))
	for i, wiped := range f.Controls {
		f.putOrganisation(fmt.Sprintf("before%d", i))
		old := f.replicaIDAt(wiped.Address)
		f.must(wiped.Kill())
		f.must(os.RemoveAll(wiped.DataFolder))
		f.putOrganisation(fmt.Sprintf("during%d", i))
		f.must(wiped.Start())
		f.must(f.AwaitVoter(t.Context(), wiped.Address, old, repairTimeout))
		second := f.Controls[(i+1)%len(f.Controls)]
		f.must(second.Kill())
		f.putOrganisation(fmt.Sprintf("after%d", i))
		f.requireOrganisations(3 * (i + 1))
		f.must(second.Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.completeWithin(serveTimeout, 0, "after all repairs", 8)
	f.checkInvariants()
}

// putOrganisation adds the contract of a new organisation.
func (f *fixture) putOrganisation(name string) {
	f.t.Helper()
	f.must(f.PutContract(f.t.Context(), cluster.AmpleContract("organisation-"+name, "key-"+name)))
}

func (f *fixture) requireOrganisations(want int) {
	f.t.Helper()
	out, err := f.Ctl(f.t.Context(), "contract", "list")
	f.must(err)
	if got := strings.Count(out, "organisation-"); got != want {
		f.t.Errorf("%d of %d contracts exist:\n%s", got, want, out)
	}
}

func (f *fixture) replicaIDAt(address string) string {
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

// TestPartitionedEntryRefusesWork partitions an entry from every process from
// which it could learn of changes. A booking sent through it 4 s later is refused
// and never runs; the response says only that this send was not run. A contract is
// changed meanwhile. Once connected again, the entry serves.
func TestPartitionedEntryRefusesWork(t *testing.T) {
	f := startFleet(t, true, engineOptions("engine1", "dc1"), bookingOptions("dc3"))
	all := f.Links.ProxiesOf("entry1", func(string) bool { return true })
	for _, proxy := range all {
		proxy.Partition()
	}
	sleep(staleAfter)
	if result := f.sendBooking(0, "cut-off"); !result.SendingNotRun() || result.RetryAfter() == "" {
		t.Errorf("a booking through the partitioned entry: %s", describe(result))
	}
	f.must(f.PutContract(t.Context(), cluster.AmpleContract("prover", key)))
	for _, proxy := range all {
		proxy.Heal()
	}
	f.completeWithin(serveTimeout, 0, "healed", 8)
	if runs := f.keyRuns("cut-off"); runs != 0 {
		t.Errorf("the refused booking ran %d times", runs)
	}
	f.checkInvariants()
}

// TestBookingsOverSilentLinks sends each booking through both entries at once.
// Soon after the start, the open connections of one link drop all data from then
// on, while new connections work. No booking runs twice, and one that succeeds ran
// once.
func TestBookingsOverSilentLinks(t *testing.T) {
	f := startFleet(t, true, engineOptions("engine1", "dc1"), bookingOptions("dc3", "--service-ms=200"))
	f.bookingDeadline = 5 * time.Second // after which a booking whose answer was lost between agent and endpoint ends
	links := [][2]string{
		{"entry1", "control1"}, {"entry1", "control2"}, {"entry1", "control3"},
		{"entry1", "agent-booking"}, {"entry2", "agent-booking"}, {"agent-booking", "booking"},
	}
	for i, ends := range links {
		for _, direction := range []faultproxy.Direction{faultproxy.Up, faultproxy.Down, faultproxy.Both} {
			bookingKey := fmt.Sprintf("visit-%d-%d", i, direction)
			proxy, err := f.Links.Between(ends[0], ends[1])
			f.must(err)
			silenced := time.AfterFunc(100*time.Millisecond, func() { proxy.BlackholeConnections(direction) })
			first, second := f.bookThroughBoth(bookingKey)
			silenced.Stop()
			runs := f.keyRuns(bookingKey)
			t.Logf("%s to %s, direction %d: ran %d times, %d and %d", ends[0], ends[1], direction, runs, first.Status, second.Status)
			if runs > 1 || (first.OK() || second.OK()) && runs != 1 {
				t.Errorf("ran %d times: %s and %s", runs, describe(first), describe(second))
			}
		}
	}
	f.checkInvariants()
}
