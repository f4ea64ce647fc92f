package machine

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

const hourMs = 60 * 60 * 1000

func testContract(organisation string, rate float64) *wire.Contract {
	hash := sha256.Sum256([]byte("key of " + organisation))
	return &wire.Contract{
		Organisation: organisation, KeyHashes: [][]byte{hash[:]}, Services: []string{"orders"},
		RequestsPerSecond: rate, RequestBurst: rate, Concurrency: 1, Share: 1,
	}
}

func drawChange(t *rapid.T, m *Machine) *wire.Change {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "object")
	view := m.Published().View
	change := &wire.Change{}
	actual := uint64(0)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		actual = view.Contract(name).GetVersion()
		change.Of = &wire.Change_PutContract{PutContract: testContract(name, float64(rapid.IntRange(0, 9).Draw(t, "rate")))}
	case 1:
		actual = view.Contract(name).GetVersion()
		change.Of = &wire.Change_DeleteContract{DeleteContract: name}
	case 2:
		actual = view.DataCentre(name).GetVersion()
		change.Of = &wire.Change_SetDataCentre{SetDataCentre: &wire.DataCentre{Name: name, Out: rapid.Bool().Draw(t, "out")}}
	case 3:
		actual = view.Endpoint(name).GetVersion()
		change.Of = &wire.Change_SetEndpoint{SetEndpoint: &wire.EndpointPolicy{Endpoint: name, State: wire.EndpointState(rapid.IntRange(0, 3).Draw(t, "state"))}}
	case 4:
		change.Of = &wire.Change_IssueOrder{IssueOrder: &wire.Order{Endpoint: name, Kind: wire.OrderKind_ORDER_KIND_LOAD_MODEL, Argument: "m"}}
	default:
		change.Of = &wire.Change_ChangeMember{ChangeMember: &wire.MemberChange{RemoveId: name}}
	}
	change.ExpectedVersion = actual + uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	return change
}

func drawCommand(t *rapid.T, m *Machine, timeMs uint64) *wire.Command {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	attempt := fmt.Sprint("attempt", rapid.IntRange(0, 3).Draw(t, "attempt"))
	command := &wire.Command{TimeMs: timeMs}
	switch rapid.IntRange(0, 5).Draw(t, "command") {
	case 0:
		command.Of = &wire.Command_Claim{Claim: &wire.ClaimRequest{
			Organisation: "o", Key: name, Attempt: attempt, RequestDigest: []byte(rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "digest")),
		}}
	case 1:
		command.Of = &wire.Command_Settle{Settle: &wire.SettleRequest{
			Organisation: "o", Key: name, Attempt: attempt, State: wire.ClaimState(rapid.IntRange(0, 3).Draw(t, "state")),
			Outcome: &wire.Outcome{Status: 200, Body: []byte(attempt)},
		}}
	case 2:
		command.Of = &wire.Command_GateLease{GateLease: &wire.GateLeaseRequest{Endpoint: name, GateInstance: attempt, GateAddress: "x"}}
	case 3:
		number := uint64(0)
		if orders := m.Published().View.Orders(name); len(orders) > 0 {
			number = rapid.SampledFrom(orders).Draw(t, "order").Number
		}
		lease := m.Published().Leases[name].GetNumber() - uint64(rapid.IntRange(0, 1).Draw(t, "old lease"))
		command.Of = &wire.Command_OrderDone{OrderDone: &wire.OrderDoneRequest{Endpoint: name, Number: number, LeaseNumber: lease, Result: attempt}}
	default:
		command.Of = &wire.Command_Apply{Apply: &wire.ApplyRequest{
			OperationId: fmt.Sprint("op", rapid.IntRange(0, 30).Draw(t, "operation")), Change: drawChange(t, m),
		}}
	}
	return command
}

// A replica that restores a snapshot at any index returns the same results for all
// later commands, and has the same final state, as one that applied the whole log.
func TestRestoredReplicaIsEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, restored := New(), New()
		timeMs := uint64(1)
		for index := uint64(1); index < 60; index++ {
			timeMs += uint64(rapid.SampledFrom([]int{0, 1, hourMs, 20 * hourMs}).Draw(t, "passed"))
			if rapid.IntRange(0, 7).Draw(t, "restart") == 0 {
				snapshot, err := restored.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored = New()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "members") == 0 {
				members := []*wire.Member{{Id: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "member"), Address: "x"}}
				whole.ApplyMembers(index, members)
				restored.ApplyMembers(index, members)
				continue
			}
			command := drawCommand(t, whole, timeMs)
			want, got := whole.Apply(index, proto.CloneOf(command)), restored.Apply(index, proto.CloneOf(command))
			if !proto.Equal(want.(proto.Message), got.(proto.Message)) {
				t.Fatalf("index %d: %v returned %v, on the restored replica %v", index, command, want, got)
			}
		}
		a, _ := whole.Snapshot()
		b, _ := restored.Snapshot()
		if !bytes.Equal(a, b) {
			t.Fatal("snapshots differ")
		}
	})
}

func apply(m *Machine, index, timeMs uint64, id string, change *wire.Change) *wire.ApplyResponse {
	command := &wire.Command{TimeMs: timeMs, Of: &wire.Command_Apply{Apply: &wire.ApplyRequest{OperationId: id, Change: change}}}
	return m.Apply(index, command).(*wire.ApplyResponse)
}

func out(expected uint64) *wire.Change {
	return &wire.Change{ExpectedVersion: expected, Of: &wire.Change_SetDataCentre{SetDataCentre: &wire.DataCentre{Name: "dc", Out: true}}}
}

func TestOperationsAndVersions(t *testing.T) {
	m := New()
	if r := apply(m, 5, 1, "first", out(0)); r.Revision != 5 || r.Failure != nil {
		t.Fatalf("first change: %v", r)
	}
	refused := apply(m, 6, 1, "second", out(0))
	if refused.Failure.GetKind() != string(fault.Conflict) || !strings.Contains(refused.Failure.Message, "version 5") {
		t.Fatalf("second change with the same version: %v", refused)
	}
	if r := apply(m, 7, 1, "first", out(0)); r.Revision != 5 || !r.RepeatedOperation {
		t.Fatalf("repeated operation: %v", r)
	}
	if r := apply(m, 8, 1, "second", out(0)); r.Failure.GetKind() != string(fault.Conflict) {
		t.Fatalf("a repeated operation that was refused must stay refused: %v", r)
	}
	if r := apply(m, 9, 1, "first", out(5)); r.Failure.GetKind() != string(fault.KeyReused) {
		t.Fatalf("another change under the same operation id: %v", r)
	}
	if r := apply(m, 10, 1+operationLifetimeMs, "first", out(5)); r.Revision != 10 || r.RepeatedOperation {
		t.Fatalf("operation id after its expiry: %v", r)
	}
	order := &wire.Change{Of: &wire.Change_IssueOrder{IssueOrder: &wire.Order{Endpoint: "e", Kind: wire.OrderKind_ORDER_KIND_LOAD_MODEL, Argument: "m"}}}
	if r := apply(m, 11, 1, "order", order); r.OrderNumber != 11 {
		t.Fatalf("order: %v", r)
	}
	lease := func(index uint64, gate string) *wire.GateLeaseResponse {
		request := &wire.GateLeaseRequest{Endpoint: "e", GateInstance: gate, GateAddress: "x"}
		return m.Apply(index, &wire.Command{Of: &wire.Command_GateLease{GateLease: request}}).(*wire.GateLeaseResponse)
	}
	done := func(index, leaseNumber uint64) *wire.OrderDoneResponse {
		request := &wire.OrderDoneRequest{Endpoint: "e", Number: 11, LeaseNumber: leaseNumber, Result: fmt.Sprint(index)}
		return m.Apply(index, &wire.Command{Of: &wire.Command_OrderDone{OrderDone: request}}).(*wire.OrderDoneResponse)
	}
	if first, again, other := lease(12, "g1"), lease(13, "g1"), lease(14, "g2"); first.Number != 12 || again.Number != 12 || other.Number != 14 {
		t.Fatalf("lease numbers: %v, %v, %v", first, again, other)
	}
	start := func(index, leaseNumber uint64) *wire.OrderDoneResponse {
		request := &wire.OrderDoneRequest{Endpoint: "e", Number: 11, LeaseNumber: leaseNumber, Started: true}
		return m.Apply(index, &wire.Command{Of: &wire.Command_OrderDone{OrderDone: request}}).(*wire.OrderDoneResponse)
	}
	if first, again := start(15, 14), start(15, 14); first.Failure != nil || again.Failure != nil {
		t.Fatalf("starts: %v, %v", first, again)
	}
	if lease(15, "g4").Number != 15 || start(15, 15).Failure.GetKind() != string(fault.Conflict) {
		t.Fatal("an order may be started under one lease only")
	}
	if r := done(15, 12); r.Failure.GetKind() != string(fault.Conflict) {
		t.Fatalf("result under an old lease: %v", r)
	}
	if first, second := done(16, 15), done(17, 15); first.Failure != nil || second.Failure != nil {
		t.Fatalf("results: %v, %v", first, second)
	}
	if o := m.Published().View.Orders("e")[0]; !o.Done || o.Result != "16" {
		t.Fatalf("the first result must stay: %v", o)
	}
	for index := uint64(20); index < 200; index += 2 {
		apply(m, index, 1, fmt.Sprint("order", index), order)
		request := &wire.OrderDoneRequest{Endpoint: "e", Number: index, LeaseNumber: 15}
		m.Apply(index+1, &wire.Command{Of: &wire.Command_OrderDone{OrderDone: request}})
	}
	if kept := m.Published().View.Orders("e"); len(kept) != maxFinishedOrders+1 || kept[maxFinishedOrders].Number != 198 {
		t.Fatalf("%d orders are kept", len(kept))
	}
	revision := m.Published().View.Revision()
	if lease(300, "g3"); m.Published().View.Revision() != revision {
		t.Fatal("a lease must not raise the revision")
	}
}

// At most one attempt of a key may run: none is granted while another attempt is
// open, unknown or done, and the states done and not run never change.
func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		var holder string // the attempt that may be running or has run
		refused := map[string]bool{}
		done := false
		for index := uint64(1); index < 40; index++ {
			attempt := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "attempt"))
			if rapid.Bool().Draw(t, "claim") {
				request := &wire.ClaimRequest{Organisation: "o", Key: "k", Attempt: attempt, RequestDigest: []byte("d")}
				r := m.Apply(index, &wire.Command{TimeMs: index, Of: &wire.Command_Claim{Claim: request}}).(*wire.ClaimResponse)
				if r.Granted && holder != "" {
					t.Fatalf("granted to %s while %s holds it", attempt, holder)
				}
				if r.Granted {
					holder = attempt
				} else if r.Existing.GetAttempt() == "" {
					t.Fatal("no record of the holder")
				}
				continue
			}
			state := wire.ClaimState(rapid.IntRange(1, 3).Draw(t, "state"))
			request := &wire.SettleRequest{Organisation: "o", Key: "k", Attempt: attempt, State: state, Outcome: &wire.Outcome{Body: make([]byte, maxOutcomeBytes+1)}}
			r := m.Apply(index, &wire.Command{TimeMs: index, Of: &wire.Command_Settle{Settle: request}}).(*wire.SettleResponse)
			if holder == "" || attempt != holder {
				if r.Failure == nil && !refused[attempt] {
					t.Fatalf("settled by %s, which holds no claim", attempt)
				}
				continue
			}
			if done && r.Record.State != wire.ClaimState_CLAIM_STATE_DONE {
				t.Fatalf("done became %v", r.Record.State)
			}
			done = r.Record.State == wire.ClaimState_CLAIM_STATE_DONE
			if r.Record.State == wire.ClaimState_CLAIM_STATE_NOT_RUN {
				refused[holder] = true
				holder = ""
			}
			if o := r.Record.Outcome; len(o.GetBody()) > 0 || !o.GetTruncated() {
				t.Fatal("an outcome over the limit was kept")
			}
		}
	})
}

func TestClaimsExpire(t *testing.T) {
	m := New()
	claim := func(index, timeMs uint64, key string) bool {
		request := &wire.ClaimRequest{Organisation: "o", Key: key, Attempt: fmt.Sprint(index), RequestDigest: []byte("d")}
		return m.Apply(index, &wire.Command{TimeMs: timeMs, Of: &wire.Command_Claim{Claim: request}}).(*wire.ClaimResponse).Granted
	}
	claim(1, 1, "open")
	claim(2, 1, "done")
	m.Apply(3, &wire.Command{TimeMs: 2, Of: &wire.Command_Settle{Settle: &wire.SettleRequest{Organisation: "o", Key: "done", Attempt: "2", State: wire.ClaimState_CLAIM_STATE_DONE}}})
	if claim(4, claimLifetimeMs, "done") {
		t.Fatal("a done claim expired too early")
	}
	if !claim(5, claimLifetimeMs+1, "done") || claim(6, claimLifetimeMs+1, "open") {
		t.Fatal("after a day the done claim must be dropped and the open one kept")
	}
	if claim(7, openClaimLifetimeMs, "open") || !claim(8, openClaimLifetimeMs+1, "open") {
		t.Fatal("an open claim must be dropped after its own lifetime only")
	}
}

// The recorded bodies are bounded in total: the oldest bodies are dropped, but no
// claim is, and a replica that was restored in between drops the same bodies.
func TestRecordedBodiesAreBounded(t *testing.T) {
	whole, restored := New(), New()
	for index := uint64(1); index < 400; index += 2 {
		if index == 301 {
			snapshot, _ := restored.Snapshot()
			restored = New()
			if err := restored.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
		key := fmt.Sprint((index * 7919) % 1000)
		claim := &wire.ClaimRequest{Organisation: "o", Key: key, Attempt: "a", RequestDigest: []byte("d")}
		settle := &wire.SettleRequest{Organisation: "o", Key: key, Attempt: "a", State: wire.ClaimState_CLAIM_STATE_DONE, Outcome: &wire.Outcome{Status: 200, Body: make([]byte, maxOutcomeBytes)}}
		for _, m := range []*Machine{whole, restored} {
			m.Apply(index, &wire.Command{TimeMs: 1, Of: &wire.Command_Claim{Claim: claim}})
			m.Apply(index+1, &wire.Command{TimeMs: 1, Of: &wire.Command_Settle{Settle: settle}})
		}
	}
	a, _ := whole.Snapshot()
	b, _ := restored.Snapshot()
	if !bytes.Equal(a, b) || len(a) > maxTotalBodyBytes+1<<20 {
		t.Fatalf("snapshots of %d and %d bytes", len(a), len(b))
	}
	if len(whole.claims.records) != 200 {
		t.Errorf("%d of 200 claims are kept", len(whole.claims.records))
	}
}
