package gate_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

var inService = &wire.FleetConfig{Revision: 5}

func wholeAnswer(tokens int) string {
	var b strings.Builder
	for i := 1; i <= tokens; i++ {
		b.WriteString(event(i))
	}
	fmt.Fprintf(&b, "id: %d\ndata: [DONE]\n\n", tokens+1)
	return b.String()
}

// A gate refuses attempts when any condition for admission is not met, and
// never runs an attempt that arrives twice.
func TestAdmissionRequiresAllConditions(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newGate(newFakeEngine(), inService)
		defer r.stop()
		expect := func(o *wire.AttemptOpen, kind fault.Kind) {
			t.Helper()
			_, refusal := r.Admit(o)
			if refusal == nil || refusal.Kind != kind {
				t.Errorf("%s: got %v, want %s", o.Attempt, refusal, kind)
			}
		}
		withoutFirstToken := newOpen("a1", true)
		withoutFirstToken.FirstTokenMs = 0
		readAnswer(r.submit(t, withoutFirstToken), 1)
		expect(newOpen("a1", true), fault.InProgress)
		other := newOpen("a2", true)
		other.GateInstance = "another"
		expect(other, fault.OutOfService)
		unknown := newOpen("a3", true)
		unknown.Model = "x"
		expect(unknown, fault.UnknownModel)
		long := newOpen("a4", true)
		long.PromptTokens = 200_000
		expect(long, fault.PromptTooLong)
		late := newOpen("a5", true)
		late.PromptTokens, late.FirstTokenMs = 90_000, 50
		expect(late, fault.DeadlineUnmeetable)
		r.refreshConfig(false)
		time.Sleep(4 * time.Second)
		expect(newOpen("a6", true), fault.NotCurrent)
		r.refreshConfig(true)
		time.Sleep(time.Second)
		r.control.mu.Lock()
		r.control.deny = true
		r.control.mu.Unlock()
		time.Sleep(3 * time.Second)
		expect(newOpen("a7", true), fault.OutOfService)
		synctest.Wait()
		if got := r.engine.runs["a1"]; got != 1 || len(r.engine.runs) != 1 {
			t.Errorf("runs are %v", r.engine.runs)
		}
	})
}

// A queued attempt must be refused when the configuration becomes outdated, as
// in a process that was suspended for long.
func TestQueuedAttemptIsRefusedWhenConfigurationIsOutdated(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.eventGap = 10 * time.Second // the first two fill the endpoint
		r := newGate(e, inService)
		defer r.stop()
		first, second := r.submit(t, newOpen("a1", true)), r.submit(t, newOpen("a2", true))
		o := newOpen("a3", true)
		o.FirstTokenMs = 15_000
		waiting := r.submit(t, o)
		r.refreshConfig(false)
		_, last := readAnswer(waiting, 1)
		if kind := last.GetRefused().GetFailure().GetKind(); kind != string(fault.NotCurrent) {
			t.Errorf("queued attempt ended with %v", last)
		}
		synctest.Wait()
		state := r.Inquire(&wire.InquireRequest{Attempt: "a3"}).State
		if state != wire.AttemptState_ATTEMPT_STATE_REFUSED || e.runs["a3"] != 0 {
			t.Errorf("state %v, runs %d", state, e.runs["a3"])
		}
		first.Cancel()
		second.Cancel()
		time.Sleep(time.Second)
	})
}

// A reader that reconnects resumes where it stopped, and a stream that the
// endpoint breaks is resumed at the endpoint. No byte is lost or repeated.
func TestAnswerSurvivesBrokenConnections(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.breakAfter = 2
		r := newGate(e, inService)
		defer r.stop()
		a := r.submit(t, newOpen("a1", true))
		a.RemoveReader()
		time.Sleep(4 * time.Second) // within the grace period
		again, err := r.FindAttempt(&wire.ResumeRequest{Attempt: "a1", Organisation: "o", GateInstance: r.Instance()})
		if err != nil {
			t.Fatal(err)
		}
		again.AddReader()
		text, last := readAnswer(again, 1)
		if text != wholeAnswer(4) || last.GetEnd().GetFailure() != nil || last.GetEnd().GetChunks() != 5 {
			t.Errorf("answer %q, last %v", text, last)
		}
		if _, err := r.FindAttempt(&wire.ResumeRequest{Attempt: "a1", Organisation: "thief"}); err == nil {
			t.Error("another organisation could read the answer")
		}
	})
}

// Guards against the text of an error in the middle of a stream: an endpoint whose stream
// has broken answers the resumption with an error.
func TestErrorOfAResumptionIsNoPartOfTheAnswer(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.breakAfter, e.resumeError = 2, `{"error": "overloaded"}`+"\n\n"
		r := newGate(e, inService)
		defer r.stop()
		text, last := readAnswer(r.submit(t, newOpen("a1", true)), 1)
		if text != event(1)+event(2) || last.GetEnd().GetFailure() == nil {
			t.Errorf("answer %q, last %v", text, last)
		}
	})
}

// An answer that is not acknowledged stops at the limit of its buffer.
func TestUnreadAnswerIsBounded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.tokens, e.eventGap = 400_000, time.Microsecond
		r := newGate(e, inService)
		defer r.stop()
		a := r.submit(t, newOpen("a1", true))
		time.Sleep(10 * time.Second)
		messages, _, err := a.Read(t.Context(), 1)
		size := 0
		for _, m := range messages {
			size += len(m.GetChunk().GetData())
		}
		if err != nil || size > 1<<20 || size < 1<<19 {
			t.Errorf("buffer holds %d bytes (%v)", size, err)
		}
		time.Sleep(11 * time.Second)
		if _, last := readAnswer(a, 1); last.GetEnd().GetFailure().GetKind() != string(fault.Timeout) {
			t.Errorf("ended with %v", last)
		}
		time.Sleep(time.Second)
		if r.ReservedTokens() != 0 || len(e.activeIDs()) != 0 {
			t.Errorf("%d tokens and %d attempts left", r.ReservedTokens(), len(e.activeIDs()))
		}
	})
}

// Ended answers that are not acknowledged are released when running ones need
// their bytes.
func TestEndedAnswersAreReleasedForRunningOnes(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.tokens, e.eventGap = 30_000, time.Microsecond // about 600 kB each
		r := newGate(e, inService)
		defer r.stop()
		for i := range 6 {
			a := r.submit(t, newOpen(fmt.Sprint("a", i), true))
			start := time.Now()
			last := readUnacknowledged(a)
			a.RemoveReader()
			if last.GetEnd().GetFailure() != nil || time.Since(start) > 2*time.Second {
				t.Errorf("answer %d ended after %s with %v", i, time.Since(start), last)
			}
		}
		if _, _, err := r.find(t, "a0").Read(t.Context(), 1); err == nil {
			t.Error("the oldest answer is still kept")
		}
		if messages, _, err := r.find(t, "a5").Read(t.Context(), 1); err != nil || len(messages) != 30_002 {
			t.Errorf("the newest answer has %d messages left (%v)", len(messages), err)
		}
	})
}

// Without a reader a repeatable attempt is cancelled. One that is not
// repeatable continues, and its outcome can be inquired.
func TestAttemptsWithoutReader(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		e.eventGap = 2 * time.Second
		r := newGate(e, inService)
		defer r.stop()
		r.submit(t, newOpen("repeatable", true)).RemoveReader()
		r.submit(t, newOpen("once", false)).RemoveReader()
		time.Sleep(6 * time.Second)
		if got := fmt.Sprint(e.activeIDs()); got != "[once]" {
			t.Errorf("active: %v", got)
		}
		time.Sleep(6 * time.Second)
		inquired := r.Inquire(&wire.InquireRequest{Attempt: "once", GateInstance: r.Instance()})
		if inquired.State != wire.AttemptState_ATTEMPT_STATE_DONE || string(inquired.GetOutcome().GetBody()) != wholeAnswer(4) {
			t.Errorf("outcome is %v", inquired)
		}
	})
}

// An attempt that was inquired about with RefuseIfUnseen before it arrived is
// refused when it arrives.
func TestInquireRefusesLateArrival(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newGate(newFakeEngine(), inService)
		defer r.stop()
		ask := func(instance string, refuse bool) wire.AttemptState {
			return r.Inquire(&wire.InquireRequest{Attempt: "late", RefuseIfUnseen: refuse, GateInstance: instance}).State
		}
		if got := ask(r.Instance(), false); got != wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN {
			t.Error(got)
		}
		if got := ask("another", true); got != wire.AttemptState_ATTEMPT_STATE_UNKNOWN {
			t.Error(got)
		}
		if got := ask(r.Instance(), true); got != wire.AttemptState_ATTEMPT_STATE_REFUSED {
			t.Error(got)
		}
		if _, refusal := r.Admit(newOpen("late", false)); refusal == nil {
			t.Error("the late arrival was admitted")
		}
	})
}

// A restarted gate counts the attempts of its predecessor as load and cancels
// them before it dispatches its own.
func TestRestartedGateCancelsForeignAttempts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		first := newGate(e, inService)
		e.setEventGap(time.Hour)
		first.submit(t, newOpen("old1", true))
		first.submit(t, newOpen("old2", true))
		time.Sleep(100 * time.Millisecond)
		first.cancel()
		second := newGate(e, inService)
		defer second.stop()
		defer first.stop()
		e.setEventGap(time.Millisecond)
		if text, _ := readAnswer(second.submit(t, newOpen("new", true)), 1); text != wholeAnswer(4) {
			t.Errorf("answer is %q", text)
		}
		synctest.Wait()
		if got := fmt.Sprint(e.activeIDs(), e.violations); got != "[] []" {
			t.Errorf("left and violations: %v", got)
		}
	})
}

// The KV blocks and the memory of a group reservation are freed when it expires
// without having been released.
func TestExpiredGroupReservationIsFreed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		r := newGate(e, inService)
		defer r.stop()
		held := r.Reserve(&wire.ReserveRequest{Reservation: "g", MemoryTokens: 60_000, ValidMs: 2000})
		if !held.Held || r.Reserve(&wire.ReserveRequest{Reservation: "h", MemoryTokens: 60_000, ValidMs: 2000}).Held {
			t.Fatal("the ledger reserved the same memory twice")
		}
		segment := newOpen("a1", true)
		segment.Path, segment.Reservation = "/kv/prefill", "g"
		readAnswer(r.submit(t, segment), 1)
		if got := e.blockCount(); got != 1 {
			t.Errorf("%d blocks", got)
		}
		time.Sleep(3 * time.Second) // the reservation expires
		if r.ReservedTokens() != 0 || e.blockCount() != 0 {
			t.Errorf("%d tokens and %d blocks left", r.ReservedTokens(), e.blockCount())
		}
	})
}

// A segment that was cancelled before its response, and one whose gate was
// restarted, leave no KV block and no reserved memory. A held reservation is
// renewed while its data centre is out of service.
func TestSegmentsLeaveNoBlocksOrMemory(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		r := newGate(e, inService)
		reserve := &wire.ReserveRequest{Reservation: "g", MemoryTokens: 60_000, ValidMs: 20_000}
		r.Reserve(reserve)
		e.setEventGap(time.Second)
		segment := newOpen("a1", true)
		segment.Path, segment.Reservation = "/kv/prefill", "g"
		a := r.submit(t, segment)
		time.Sleep(200 * time.Millisecond)
		if e.blockCount() != 1 {
			t.Errorf("a running segment has %d blocks", e.blockCount())
		}
		a.Cancel()
		r.Release(t.Context(), "g")
		time.Sleep(time.Second)
		if r.ReservedTokens() != 0 || e.blockCount() != 0 || len(e.activeIDs()) != 0 {
			t.Errorf("cancelled: %d tokens, %d blocks, %v left", r.ReservedTokens(), e.blockCount(), e.activeIDs())
		}

		e.setEventGap(time.Millisecond)
		reserve.Reservation, segment.Attempt, segment.Reservation = "h", "a2", "h"
		r.Reserve(reserve)
		readAnswer(r.submit(t, segment), 1)
		out := &wire.FleetConfig{Revision: 6, DataCentres: []*wire.DataCentre{{Name: "dc1", Out: true}}}
		r.store.Update(&wire.SyncResponse{Revision: 6, Snapshot: out}, time.Now())
		time.Sleep(100 * time.Millisecond)
		if !r.Reserve(reserve).Held || e.blockCount() != 1 {
			t.Errorf("a held reservation is not renewed, %d blocks", e.blockCount())
		}
		reserve.Reservation = "new"
		if r.Reserve(reserve).Held {
			t.Error("a new reservation is held in a data centre that is out of service")
		}
		r.cancel() // the gate stops, and its reservation is lost
		again := newGateWith(e, inService, &fakeControl{lease: 1})
		defer again.stop()
		time.Sleep(2 * time.Second)
		if again.ReservedTokens() != 0 || e.blockCount() != 0 {
			t.Errorf("after a restart: %d tokens and %d blocks left", again.ReservedTokens(), e.blockCount())
		}
	})
}

// Orders are executed once each in ascending number, even while the
// configuration still lists them as pending.
func TestOrdersExecuteOnceInAscendingOrder(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newFakeEngine()
		config := &wire.FleetConfig{Revision: 30, Orders: []*wire.Order{
			{Number: 20, Endpoint: "e1", Kind: wire.OrderKind_ORDER_KIND_LOAD_MODEL},
			{Number: 12, Endpoint: "e1", Kind: wire.OrderKind_ORDER_KIND_CHANGE_ROLE},
			{Number: 9, Endpoint: "e1", Done: true},
		}}
		r := newGate(e, config)
		defer r.stop()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := fmt.Sprint(e.orders, r.control.done); got != "[12 20] [12 20]" {
			t.Errorf("orders and reports are %s", got)
		}
		later := &fakeControl{lease: 1, startedUnder: r.control.startedUnder}
		defer newGateWith(e, config, later).stop() // a restarted gate, the orders still pending
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := fmt.Sprint(e.orders, later.done); got != "[12 20] [12 20]" {
			t.Errorf("after a restart orders and reports are %s", got)
		}
	})
}
