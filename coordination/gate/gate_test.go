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

// A gate that may not act refuses, whichever right it lacks, and a second
// arrival of an attempt never runs.
func TestAdmissionNeedsEveryRight(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newRig(newEngine(), inService)
		defer r.stop()
		expect := func(o *wire.AttemptOpen, kind fault.Kind) {
			t.Helper()
			_, refusal := r.Admit(o)
			if refusal == nil || refusal.Kind != kind {
				t.Errorf("%s: got %v, want %s", o.Attempt, refusal, kind)
			}
		}
		withoutFirstToken := open("a1", true)
		withoutFirstToken.FirstTokenMs = 0
		collect(r.submit(t, withoutFirstToken), 1)
		expect(open("a1", true), fault.InProgress)
		other := open("a2", true)
		other.GateInstance = "another"
		expect(other, fault.OutOfService)
		unknown := open("a3", true)
		unknown.Model = "x"
		expect(unknown, fault.UnknownModel)
		long := open("a4", true)
		long.PromptTokens = 200_000
		expect(long, fault.PromptTooLong)
		late := open("a5", true)
		late.PromptTokens, late.FirstTokenMs = 90_000, 50
		expect(late, fault.DeadlineUnmeetable)
		r.fresh(false)
		time.Sleep(4 * time.Second)
		expect(open("a6", true), fault.NotCurrent)
		r.fresh(true)
		time.Sleep(time.Second)
		r.control.mu.Lock()
		r.control.deny = true
		r.control.mu.Unlock()
		time.Sleep(3 * time.Second)
		expect(open("a7", true), fault.OutOfService)
		synctest.Wait()
		if got := r.engine.runs["a1"]; got != 1 || len(r.engine.runs) != 1 {
			t.Errorf("runs are %v", r.engine.runs)
		}
	})
}

// A process that sleeps past its rights refuses what it had queued.
func TestQueuedAttemptIsRefusedWhenRightsEnd(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		e.gap = 10 * time.Second // the first two fill the endpoint
		r := newRig(e, inService)
		defer r.stop()
		first, second := r.submit(t, open("a1", true)), r.submit(t, open("a2", true))
		o := open("a3", true)
		o.FirstTokenMs = 15_000
		waiting := r.submit(t, o)
		r.fresh(false)
		_, last := collect(waiting, 1)
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

// A reader that is gone resumes where it was; a stream that broke on the
// endpoint's side is resumed there; both without a byte lost or doubled.
func TestAnswerSurvivesBrokenLinks(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		e.breakAfter = 2
		r := newRig(e, inService)
		defer r.stop()
		a := r.submit(t, open("a1", true))
		a.RemoveReader()
		time.Sleep(4 * time.Second) // within the grace time
		again, err := r.FindAttempt(&wire.ResumeRequest{Attempt: "a1", Organisation: "o", GateInstance: r.Instance()})
		if err != nil {
			t.Fatal(err)
		}
		again.AddReader()
		text, last := collect(again, 1)
		if text != wholeAnswer(4) || last.GetEnd().GetFailure() != nil || last.GetEnd().GetChunks() != 5 {
			t.Errorf("answer %q, last %v", text, last)
		}
		if _, err := r.FindAttempt(&wire.ResumeRequest{Attempt: "a1", Organisation: "thief"}); err == nil {
			t.Error("another organisation could read the answer")
		}
	})
}

// An answer that nobody acknowledges stops at the bound of its buffer.
func TestUnreadAnswerIsBounded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		e.tokens, e.gap = 400_000, time.Microsecond
		r := newRig(e, inService)
		defer r.stop()
		a := r.submit(t, open("a1", true))
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
		if _, last := collect(a, 1); last.GetEnd().GetFailure().GetKind() != string(fault.Timeout) {
			t.Errorf("ended with %v", last)
		}
		time.Sleep(time.Second)
		if r.ReservedTokens() != 0 || len(e.left()) != 0 {
			t.Errorf("%d tokens and %d attempts left", r.ReservedTokens(), len(e.left()))
		}
	})
}

// Answers that ended unacknowledged give way to those that run.
func TestEndedAnswersGiveWay(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		e.tokens, e.gap = 30_000, time.Microsecond // about 600 kB each
		r := newRig(e, inService)
		defer r.stop()
		for i := range 6 {
			a := r.submit(t, open(fmt.Sprint("a", i), true))
			start := time.Now()
			last := readToEnd(a)
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

// Without a reader a repeatable attempt is cancelled; one that may not be
// repeated runs on, and its outcome is told.
func TestAbandonedAttempts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		e.gap = 2 * time.Second
		r := newRig(e, inService)
		defer r.stop()
		r.submit(t, open("repeatable", true)).RemoveReader()
		r.submit(t, open("once", false)).RemoveReader()
		time.Sleep(6 * time.Second)
		if got := fmt.Sprint(e.left()); got != "[once]" {
			t.Errorf("active: %v", got)
		}
		time.Sleep(6 * time.Second)
		told := r.Inquire(&wire.InquireRequest{Attempt: "once", GateInstance: r.Instance()})
		if told.State != wire.AttemptState_ATTEMPT_STATE_DONE || string(told.GetOutcome().GetBody()) != wholeAnswer(4) {
			t.Errorf("outcome is %v", told)
		}
	})
}

// An attempt that was asked for before it arrived is refused when it does.
func TestInquireForbidsLateArrival(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		r := newRig(newEngine(), inService)
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
		if _, refusal := r.Admit(open("late", false)); refusal == nil {
			t.Error("the late arrival was admitted")
		}
	})
}

// A gate that was started anew counts what its predecessor left as load, and
// cancels it before its own work goes in.
func TestRestartedGateClearsUnknownWork(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		first := newRig(e, inService)
		e.setPace(time.Hour)
		first.submit(t, open("old1", true))
		first.submit(t, open("old2", true))
		time.Sleep(100 * time.Millisecond)
		first.cancel()
		second := newRig(e, inService)
		defer second.stop()
		defer first.stop()
		e.setPace(time.Millisecond)
		if text, _ := collect(second.submit(t, open("new", true)), 1); text != wholeAnswer(4) {
			t.Errorf("answer is %q", text)
		}
		synctest.Wait()
		if got := fmt.Sprint(e.left(), e.breaches); got != "[] []" {
			t.Errorf("left and breaches: %v", got)
		}
	})
}

// Blocks and memory of a group reservation go with it, whoever dies.
func TestGroupReservationIsFreed(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		r := newRig(e, inService)
		defer r.stop()
		held := r.Reserve(&wire.ReserveRequest{Reservation: "g", MemoryTokens: 60_000, ValidMs: 2000})
		if !held.Held || r.Reserve(&wire.ReserveRequest{Reservation: "h", MemoryTokens: 60_000, ValidMs: 2000}).Held {
			t.Fatal("the ledger gave the same memory twice")
		}
		segment := open("a1", true)
		segment.Path, segment.Reservation = "/kv/prefill", "g"
		collect(r.submit(t, segment), 1)
		if got := e.blocksLeft(); got != 1 {
			t.Errorf("%d blocks", got)
		}
		time.Sleep(3 * time.Second) // the reservation expires
		if r.ReservedTokens() != 0 || e.blocksLeft() != 0 {
			t.Errorf("%d tokens and %d blocks left", r.ReservedTokens(), e.blocksLeft())
		}
	})
}

// A segment cancelled on its way, and one whose gate was restarted, leave no
// block and no memory; a reservation is renewed while its data centre is out.
func TestSegmentsLeaveNothing(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		r := newRig(e, inService)
		reserve := &wire.ReserveRequest{Reservation: "g", MemoryTokens: 60_000, ValidMs: 20_000}
		r.Reserve(reserve)
		e.setPace(time.Second)
		segment := open("a1", true)
		segment.Path, segment.Reservation = "/kv/prefill", "g"
		a := r.submit(t, segment)
		time.Sleep(200 * time.Millisecond)
		if e.blocksLeft() != 1 {
			t.Errorf("a running segment has %d blocks", e.blocksLeft())
		}
		a.Cancel()
		r.Release(t.Context(), "g")
		time.Sleep(time.Second)
		if r.ReservedTokens() != 0 || e.blocksLeft() != 0 || len(e.left()) != 0 {
			t.Errorf("cancelled: %d tokens, %d blocks, %v left", r.ReservedTokens(), e.blocksLeft(), e.left())
		}

		e.setPace(time.Millisecond)
		reserve.Reservation, segment.Attempt, segment.Reservation = "h", "a2", "h"
		r.Reserve(reserve)
		collect(r.submit(t, segment), 1)
		out := &wire.FleetConfig{Revision: 6, DataCentres: []*wire.DataCentre{{Name: "dc1", Out: true}}}
		r.store.Update(&wire.SyncResponse{Revision: 6, Snapshot: out}, time.Now())
		time.Sleep(100 * time.Millisecond)
		if !r.Reserve(reserve).Held || e.blocksLeft() != 1 {
			t.Errorf("a held reservation is not renewed, %d blocks", e.blocksLeft())
		}
		reserve.Reservation = "new"
		if r.Reserve(reserve).Held {
			t.Error("a new reservation is held in a data centre that is out")
		}
		r.cancel() // the gate is gone, its reservation with it
		again := newRigAt(e, inService, &control{lease: 1})
		defer again.stop()
		time.Sleep(2 * time.Second)
		if again.ReservedTokens() != 0 || e.blocksLeft() != 0 {
			t.Errorf("after a restart: %d tokens and %d blocks left", again.ReservedTokens(), e.blocksLeft())
		}
	})
}

// Orders are carried out once each, in ascending number, also when the
// configuration still shows them as pending.
func TestOrdersOnceInOrder(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		e := newEngine()
		config := &wire.FleetConfig{Revision: 30, Orders: []*wire.Order{
			{Number: 20, Endpoint: "e1", Kind: wire.OrderKind_ORDER_KIND_LOAD_MODEL},
			{Number: 12, Endpoint: "e1", Kind: wire.OrderKind_ORDER_KIND_CHANGE_ROLE},
			{Number: 9, Endpoint: "e1", Done: true},
		}}
		r := newRig(e, config)
		defer r.stop()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := fmt.Sprint(e.orders, r.control.done); got != "[12 20] [12 20]" {
			t.Errorf("orders and reports are %s", got)
		}
		later := &control{lease: 1, begun: r.control.begun}
		defer newRigAt(e, config, later).stop() // a restarted gate, the orders still pending
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if got := fmt.Sprint(e.orders, later.done); got != "[12 20] [12 20]" {
			t.Errorf("after a restart orders and reports are %s", got)
		}
	})
}
