package placement

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Guards against requests that wait at an endpoint and are forgotten in its memory.
func TestQueuedRequestsTakeMemory(t *testing.T) {
	b := newTestbed(1)
	b.service.Engine.MemoryTokens = 20_000 // of five requests, one more than there are slots
	req := b.newReq(3000, 5*time.Second, time.Second)
	for i := range 5 {
		if b.scheduler.Choose(b.endpoints, req) == nil {
			t.Fatalf("request %d found no place", i)
		}
	}
	if b.scheduler.Choose(b.endpoints, req) != nil {
		t.Error("an endpoint got more than its memory holds")
	}
	b.service.Engine.MemoryTokens = 24_000
	if b.scheduler.Choose(b.endpoints, req) == nil {
		t.Error("with more memory the sixth request found no place")
	}
}

// The main endpoint stores the whole of a prompt without reservations. Guards against counting
// a helper's part twice, which would leave memory unused.
func TestPartsWithoutReservationsAreStoredAtTheMainEndpoint(t *testing.T) {
	b := newTestbed(4)
	b.service.Engine.MemoryTokens = 200_000
	p := b.choose(t, b.long()) // fits into the main endpoint
	if p.HeldTokens != nil || len(p.Endpoints) < 2 {
		t.Fatalf("%d endpoints, reservations %v", len(p.Endpoints), p.HeldTokens)
	}
	used := func(i int) int {
		return b.scheduler.newCandidate(p.Endpoints[i].Key, b.service.Engine, b.now).usedMemoryTokens
	}
	if req := b.long(); used(0) != req.PromptTokens+req.OutputTokens {
		t.Errorf("the prompt takes %d tokens at the main endpoint", used(0))
	}
	if used(1) != 0 {
		t.Errorf("the prompt takes %d tokens at a helper", used(1))
	}
}

// Guards against entries that have the same report and together send an endpoint more than
// its memory holds.
func TestReportedEndpointsKeepMemoryFree(t *testing.T) {
	const usual, memory = 4000, 400_000
	for reported := 0; reported <= memory; reported += usual / 4 {
		total := reported
		for range reportedSpareRequests {
			b := newTestbed(1)
			b.service.Engine.MeanPromptTokens = 3000
			b.inDataCentre("dc2", 0)
			b.scheduler.SetReportingDataCentres([]string{"dc2"})
			if reported > 0 {
				b.scheduler.ApplyReport(&wire.LoadReport{DataCentre: "dc2", Endpoints: []*wire.EndpointWork{
					{Endpoint: b.endpoints[0].Key, Answers: 1, MemoryTokens: uint32(reported)},
				}})
			}
			if b.scheduler.Choose(b.endpoints, b.short()) != nil {
				total += usual
			}
		}
		if total > memory {
			t.Errorf("with %d tokens reported, %d were sent", reported, total)
		}
		if reported <= memory-4*usual && total != reported+3*usual {
			t.Errorf("with %d tokens reported, only %d were sent", reported, total-reported)
		}
	}
}

// A prompt of the size of an endpoint's memory is still placed where nothing is reported.
func TestLargestPromptFindsAnEmptyReportedEndpoint(t *testing.T) {
	b := newTestbed(1)
	b.service.Engine.MeanPromptTokens = 3000
	b.inDataCentre("dc2", 0)
	b.scheduler.SetReportingDataCentres([]string{"dc2"})
	b.service.Engine.MemoryTokens = 20_000
	b.choose(t, b.newReq(19_000, 5*time.Second, time.Second))
}

// Guards against prompts for which memory is reserved although their endpoints would begin
// them only after the reservations have ended.
func TestPromptThatNeedsReservationsBeginsInTime(t *testing.T) {
	b := newTestbed(4)
	b.service.Engine.MemoryTokens = 200_000
	large := func(start time.Duration) *Request {
		req := b.newReq(300_000, 30*time.Second, 0)
		req.ReservedStart, req.CallerTimeout = start, time.Minute
		return req
	}
	p := b.choose(t, large(time.Millisecond)) // nothing is ahead of it
	if p.HeldTokens == nil {
		t.Fatal("the prompt needs no reservations")
	}
	p.Handle.Close()
	b.service.Engine.MemoryTokens = 400_000
	busy := make(map[uint64]bool)
	for range b.endpoints {
		req := b.newReq(60_000, 30*time.Second, 0)
		req.Excluded = func(e *directory.Endpoint) bool { return busy[e.Key] }
		busy[b.choose(t, req).Endpoints[0].Key] = true
	}
	b.service.Engine.MemoryTokens = 290_000
	p = b.choose(t, large(0))
	p.Handle.Close()
	if p.HeldTokens == nil || p.BacklogMs < 10 {
		t.Fatalf("reservations %v, a backlog of %v ms", p.HeldTokens, p.BacklogMs)
	}
	if p := b.scheduler.Choose(b.endpoints, large(time.Millisecond)); p != nil {
		t.Errorf("a prompt that must begin in 1 ms is sent where %v ms of prefill are ahead", p.BacklogMs)
	}
	if b.scheduler.Choose(b.endpoints, large(time.Minute)) == nil {
		t.Error("a prompt that may begin later finds no place")
	}
	req := b.long()
	if req.ReservedStart = time.Millisecond; b.scheduler.Choose(b.endpoints, req) == nil {
		t.Error("a prompt without reservations finds no place")
	}
}
