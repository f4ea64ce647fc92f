package placement

import (
	"testing"
	"time"

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

// Guards against endpoints that hold parts of a prompt for another one, without a
// reservation, and are sent more than their memory holds beside them.
func TestPartsWithoutReservationsTakeMemory(t *testing.T) {
	const memory = 200_000
	b := newTestbed(4)
	b.service.Engine.MemoryTokens = memory
	p := b.choose(t, b.long()) // fits into the main endpoint
	if p.HeldTokens != nil || len(p.Endpoints) < 2 {
		t.Fatalf("%d endpoints, reservations %v", len(p.Endpoints), p.HeldTokens)
	}
	helper, part := p.Endpoints[1:2], 180_000/len(p.Endpoints)
	now := func() *candidate { return b.scheduler.newCandidate(helper[0].Key, b.service.Engine, b.now) }
	if used := now().usedMemoryTokens; used != part {
		t.Errorf("a part of %d tokens takes %d", part, used)
	}
	rest := b.newReq(memory-part-1000, 10*time.Second, time.Second) // beside 1,000 of output
	more := *rest
	more.PromptTokens++
	if b.scheduler.Choose(helper, &more) != nil {
		t.Error("an endpoint got more than its memory holds beside the part")
	}
	b.endpoints = helper
	b.choose(t, rest)
	if now().mayHelp(b.short(), 2) {
		t.Error("a full endpoint gets a part")
	}
	if p.Handle.MarkStarted(); now().usedMemoryTokens != memory-part {
		t.Errorf("%d tokens are used after the answer has begun", now().usedMemoryTokens)
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
