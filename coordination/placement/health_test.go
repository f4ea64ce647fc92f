package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func TestBackoffDoublesWithEachFailure(t *testing.T) {
	b := newTestbed(2)
	key := b.endpoints[0].Key
	b.endpoints[1].DataCentre = "dc2" // only chosen while the other one is in back-off
	for _, backoff := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff} {
		b.scheduler.RecordFailure(key)
		b.now = b.now.Add(backoff - time.Millisecond)
		p := b.choose(t, b.short())
		p.Handle.Close()
		if p.Endpoints[0].Key == key {
			t.Errorf("chosen within its back-off of %v", backoff)
		}
		b.now = b.now.Add(2 * time.Millisecond)
		p = b.choose(t, b.short())
		p.Handle.Close()
		if p.Endpoints[0].Key != key {
			t.Errorf("not chosen after its back-off of %v", backoff)
		}
	}
	b.scheduler.RecordSuccess(key)
	b.scheduler.RecordFailure(key)
	b.now = b.now.Add(minBackoff + time.Millisecond)
	if p := b.choose(t, b.short()); p.Endpoints[0].Key != key {
		t.Error("a success did not reset the back-off")
	}
}

func TestALongPromptAvoidsSuspectEndpoints(t *testing.T) {
	b := newTestbed(4)
	uses := func(p *Plan, e *directory.Endpoint) bool { return slices.Contains(p.Endpoints, e) }
	dead := b.endpoints[2]
	b.scheduler.ApplyRemote(7, []*wire.WorkEvent{{Step: wire.WorkStep_WORK_STEP_UNREACHABLE, Endpoints: []uint64{dead.Key}}})
	b.now = b.now.Add(minBackoff + time.Millisecond)
	p := b.choose(t, b.long())
	if len(p.Endpoints) != 3 || uses(p, dead) {
		t.Errorf("the plan has %d endpoints, includes the dead one: %v", len(p.Endpoints), uses(p, dead))
	}
	p.Handle.Close()
	b.scheduler.ApplyRemote(7, []*wire.WorkEvent{
		{Step: wire.WorkStep_WORK_STEP_OPEN, Work: 1, Endpoints: []uint64{dead.Key}},
		{Step: wire.WorkStep_WORK_STEP_STARTED, Work: 1},
		{Step: wire.WorkStep_WORK_STEP_CLOSED, Work: 1},
	})
	if p := b.choose(t, b.long()); !uses(p, dead) {
		t.Error("an endpoint that answers another entry is still left out")
	}
}

func TestAllEndpointsAreKeptWhenHalfAreSuspect(t *testing.T) {
	b := newTestbed(4)
	for _, e := range b.endpoints[:2] {
		b.scheduler.RecordFailure(e.Key)
	}
	b.now = b.now.Add(minBackoff + time.Millisecond)
	if p := b.choose(t, b.long()); len(p.Endpoints) != 4 {
		t.Errorf("the plan has %d endpoints, want all 4", len(p.Endpoints))
	}
}

// An endpoint that is draining or has asked for no requests must get none, not even
// when it is the only one. Another incarnation of it is used.
func TestBusyAndDrainingEndpointsGetNothing(t *testing.T) {
	b := newTestbed(1)
	only := b.endpoints[0]
	b.scheduler.RecordBusy(only.Key, time.Second)
	if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil {
		t.Error("a busy endpoint was chosen")
	}
	b.now = b.now.Add(time.Second)
	b.choose(t, b.short()).Handle.Close()
	if !b.scheduler.RecordDraining(only.Key) || b.scheduler.RecordDraining(only.Key) {
		t.Error("RecordDraining did not report the draining as new exactly once")
	}
	b.now = b.now.Add(time.Hour)
	if p := b.scheduler.Choose(b.endpoints, b.short()); p != nil {
		t.Error("a draining endpoint was chosen")
	}
	only.Key = directory.KeyOf(only.ID, 2)
	b.choose(t, b.short())
}

// What an endpoint asked of one entry must be heeded by all, also by one that is started
// while the time lasts.
func TestAnEndpointThatAskedForNoRequestsGetsNoneFromAnyEntry(t *testing.T) {
	told, other, restarted := newTestbed(1), newTestbed(1), newTestbed(1)
	told.scheduler.OnWorkEvent(func(e *wire.WorkEvent, scope Scope) {
		if scope != AllDataCentres {
			t.Error("the time must be published to all data centres")
		}
		other.scheduler.ApplyRemote(1, []*wire.WorkEvent{e})
	})
	told.scheduler.RecordBusy(told.endpoints[0].Key, 2*time.Second)
	other.now = other.now.Add(time.Second)
	restarted.scheduler.ReplaceRemote(1, other.scheduler.OwnEvents())
	for _, b := range []*testbed{other, restarted} {
		if b.scheduler.Choose(b.endpoints, b.short()) != nil {
			t.Error("an endpoint was chosen that had asked for no requests")
		}
		b.now = b.now.Add(time.Second)
		b.choose(t, b.short())
	}
}
