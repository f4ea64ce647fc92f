package directory

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

func record(id string, born, sequence uint64, condition wire.EndpointCondition) *wire.EndpointRecord {
	return &wire.EndpointRecord{
		Id: id, BornMs: born, Sequence: sequence, Service: "engine", DataCentre: "dc1",
		Address: fmt.Sprintf("10.0.0.%d:80", born%5), Slots: 4, Condition: condition,
	}
}

func summary(d *Directory) string {
	text := ""
	for _, e := range d.Endpoints("engine") {
		text += fmt.Sprintf("%s/%d/%d/%s ", e.ID, e.BornMs, e.Sequence, conditionName(e.Condition))
	}
	return text
}

// Records that arrive in any order, and twice, must merge to the same directory.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *wire.EndpointRecord {
			return record(
				rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.Uint64Range(1, 3).Draw(t, "born"),
				rapid.Uint64Range(1, 4).Draw(t, "sequence"),
				// Records with the same sequence number have the same condition.
				wire.EndpointCondition_ENDPOINT_CONDITION_READY)
		}), 1, 12).Draw(t, "records")
		for _, r := range records {
			if r.Sequence == 4 {
				r.Condition = wire.EndpointCondition_ENDPOINT_CONDITION_GONE
			}
		}
		first, second := New(), New()
		first.MergeEndpoints(records)
		second.MergeEndpoints(rapid.Permutation(records).Draw(t, "order"))
		second.MergeEndpoints(records)
		if a, b := summary(first), summary(second); a != b {
			t.Fatalf("%s\n%s", a, b)
		}
	})
}

func TestALateAnnouncementDoesNotBringAnEndpointBack(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	d := New()
	d.Announce(record("a", 10, 5, ready))
	d.Leave("a", 0)
	d.Announce(record("a", 10, 6, ready))
	if got := d.Endpoints("engine"); len(got) != 0 {
		t.Errorf("a late announcement brought the endpoint back: %v", got[0])
	}
	d.Announce(record("a", 11, 1, ready))
	if got := d.Endpoints("engine"); len(got) != 1 || got[0].BornMs != 11 {
		t.Errorf("the next incarnation is missing: %v", got)
	}
	d.Announce(record("a", 10, 9, ready))
	if got := d.Endpoints("engine"); got[0].BornMs != 11 {
		t.Error("an announcement of the earlier incarnation won")
	}
}

func TestAnAddressBelongsToTheEndpointBornLast(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	d := New()
	d.Announce(record("old", 1, 9, ready))
	d.Announce(record("new", 6, 1, ready)) // at the same address
	if got := d.Endpoints("engine"); len(got) != 1 || got[0].ID != "new" {
		t.Errorf("got %s", summary(d))
	}
}

// An endpoint that told one process that it leaves may go on announcing itself as ready to
// others: no process may use it any more, in whatever order they hear of it.
func TestAnEndpointThatDrainsIsNotReadyAgain(t *testing.T) {
	const ready, draining = wire.EndpointCondition_ENDPOINT_CONDITION_READY, wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING
	rapid.Check(t, func(t *rapid.T) {
		records := []*wire.EndpointRecord{record("a", 1, 1, ready), record("a", 1, 2, draining), record("a", 1, 3, ready), record("a", 1, 4, ready)}
		d := New()
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			d.MergeEndpoints([]*wire.EndpointRecord{r})
		}
		e := d.endpoints["a"]
		if e.Condition != draining || e.Sequence != 4 {
			t.Fatalf("condition %v at sequence number %d", e.Condition, e.Sequence)
		}
		d.Announce(record("a", 2, 1, ready))
		if e := d.endpoints["a"]; e.Condition != ready {
			t.Fatalf("the next incarnation is %v", e.Condition)
		}
	})
}

func TestOnlyChangesAndPeriodicRefreshesArePublished(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	d := New()
	published := 0
	d.OnUpdate(func([]*wire.EndpointRecord, bool) { published++ })
	d.Announce(record("a", 1, 1, ready))
	for sequence := uint64(2); sequence <= 9; sequence++ {
		d.Announce(record("a", 1, sequence, ready))
	}
	if most := 1 + 8/refreshEvery; published != most {
		t.Errorf("published %d times, want %d", published, most)
	}
	d.Announce(record("a", 1, 11, wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING))
	if published != 2+8/refreshEvery {
		t.Error("the draining of an endpoint was not published")
	}
}

func TestGossipSendsChangesInEveryRoundAndOtherRecordsOnceACycle(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	const endpoints = 320
	d := New()
	for i := range endpoints {
		d.Announce(record(fmt.Sprint("e", i), 1, 1, ready))
	}
	if n := len(d.GossipRecords(0)); n != endpoints {
		t.Errorf("%d records of new endpoints are sent, want all %d", n, endpoints)
	}
	for _, e := range d.endpoints {
		e.changedAt = e.changedAt.Add(-gossipRecentWindow)
	}
	d.Announce(record("e1", 1, 2, ready))
	d.Announce(record("e7", 1, 2, wire.EndpointCondition_ENDPOINT_CONDITION_DRAINING))
	sent := make(map[string]bool)
	for round := range uint64(gossipCycleRounds) {
		records := d.GossipRecords(round)
		if len(records) > 2*endpoints/gossipCycleRounds {
			t.Errorf("%d of %d records are sent in one round", len(records), endpoints)
		}
		if !slices.ContainsFunc(records, func(r *wire.EndpointRecord) bool { return r.Id == "e7" }) {
			t.Errorf("round %d lacks the record of a draining endpoint", round)
		}
		for _, r := range records {
			sent[r.Id] = true
		}
	}
	if len(sent) != endpoints {
		t.Errorf("%d of %d endpoints are sent in %d rounds", len(sent), endpoints, gossipCycleRounds)
	}
}

func TestProcessesMergeByIncarnation(t *testing.T) {
	d := New()
	old := &wire.ProcessRecord{Address: "a:1", Incarnation: 1}
	next := &wire.ProcessRecord{Address: "a:1", Incarnation: 2}
	if n := len(d.MergeProcesses([]*wire.ProcessRecord{next, old, next})); n != 1 {
		t.Errorf("%d records accepted, want 1", n)
	}
	d.MarkGone("a:1", 1)
	if len(d.Processes()) != 1 {
		t.Error("marking the old incarnation as gone removed the newer one")
	}
	d.MarkGone("a:1", 2)
	if len(d.Processes()) != 0 {
		t.Error("the process is still listed after it was marked as gone")
	}
}

// A process that was marked as gone must not come back by an old record, only when
// it is heard from again.
func TestAGoneProcessComesBackOnlyWhenHeardFrom(t *testing.T) {
	d := New()
	record := &wire.ProcessRecord{Address: "a:1", Incarnation: 1}
	d.MergeProcesses([]*wire.ProcessRecord{record})
	gone := d.MarkGone("a:1", 1)
	if gone == nil || !gone.Gone || len(d.Processes()) != 0 || len(d.ProcessRecords()) != 1 {
		t.Fatalf("gone record %v, %d processes listed, %d records, want a gone record, 0 and 1", gone, len(d.Processes()), len(d.ProcessRecords()))
	}
	if news := d.MergeProcesses([]*wire.ProcessRecord{record}); len(news) != 0 {
		t.Error("an old record brought the process back")
	}
	other := New()
	if news := other.MergeProcesses([]*wire.ProcessRecord{gone}); len(news) != 0 {
		t.Error("a gone record of an unknown process was accepted")
	}
	back := d.Revive("a:1", 1)
	if back == nil || len(d.Processes()) != 1 {
		t.Fatal("a process that was heard from is still gone")
	}
	other.MergeProcesses([]*wire.ProcessRecord{record})
	other.MarkGone("a:1", 1)
	if news := other.MergeProcesses([]*wire.ProcessRecord{back}); len(news) != 1 || len(other.Processes()) != 1 {
		t.Error("the record that revives the process was not accepted")
	}
}

// An endpoint reports to a restarted process that it leaves, before the process has
// learnt of it again. No process may use the endpoint from then on, even if older
// announcements arrive late.
func TestALeaveReportedToARestartedProcessHolds(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	restarted, other := New(), New()
	other.Announce(record("a", 10, 5, ready))
	var published []*wire.EndpointRecord
	restarted.OnUpdate(func(records []*wire.EndpointRecord, _ bool) { published = append(published, records...) })
	restarted.Leave("a", 0)
	other.MergeEndpoints(published)
	if got := other.Endpoints("engine"); len(got) != 0 {
		t.Errorf("another process that knows the endpoint still lists it: %v", got[0])
	}
	restarted.Announce(record("a", 10, 4, ready))
	restarted.MergeEndpoints([]*wire.EndpointRecord{record("a", 10, 5, ready)})
	if got := restarted.Endpoints("engine"); len(got) != 0 {
		t.Errorf("a late announcement brought the endpoint back: %v", got[0])
	}
	other.Announce(record("a", 11, 1, ready))
	if got := other.Endpoints("engine"); len(got) != 1 {
		t.Error("the next incarnation is missing")
	}
	late := published[0]
	late.HeardAgeMs = uint32((maxAnnouncementDelay + maxAnnouncementDelay).Milliseconds())
	other.MergeEndpoints([]*wire.EndpointRecord{late})
	if got := other.Endpoints("engine"); len(got) != 1 {
		t.Error("an old leave record ended an incarnation that was heard from long after it")
	}
}

// Guards against a leave that is read late ending the incarnation that was started since
// under the same ID.
func TestLateLeaveDoesNotEndALaterIncarnation(t *testing.T) {
	const ready = wire.EndpointCondition_ENDPOINT_CONDITION_READY
	d := New()
	d.Announce(record("a", 10, 5, ready))
	bornMs := d.Incarnation("a")
	d.Announce(record("a", 11, 1, ready))
	d.Leave("a", bornMs)
	if got := d.Endpoints("engine"); len(got) != 1 || got[0].BornMs != 11 {
		t.Errorf("a leave of an earlier incarnation has ended the later one: %s", summary(d))
	}
	d.Leave("a", d.Incarnation("a"))
	if got := d.Endpoints("engine"); len(got) != 0 {
		t.Errorf("an endpoint that has left is in use: %s", summary(d))
	}
}
