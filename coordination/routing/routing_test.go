package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
	"pgregory.net/rapid"
)

func newReport(name string, change func(*wire.GateReport)) *wire.GateReport {
	r := &wire.GateReport{Sequence: 1, GateInstance: "g" + name, GateAddress: "a" + name, Endpoint: name, DataCentre: "d1", Models: []string{"m"},
		Ready: true, AdmitLimit: 8, Load: &wire.EndpointLoad{PrefillTokensPerSecond: 10_000, DecodeMsPerToken: 20, MemoryTokensTotal: 600_000}}
	if change != nil {
		change(r)
	}
	return r
}

func newRequest(tokens uint64) *Request {
	return &Request{View: fleet.NewView(&wire.FleetConfig{}), Model: "m", PromptTokens: tokens, Now: time.Now()}
}

func newAdaptiveRouter(t testing.TB, reports ...*wire.GateReport) *Router {
	policy, err := NewPolicy("adaptive")
	if err != nil {
		t.Fatal(err)
	}
	table := NewTable()
	for _, r := range reports {
		table.Observe(r, time.Now())
	}
	return NewRouter(table, policy)
}

func TestFiltersDrop(t *testing.T) {
	out := &wire.FleetConfig{DataCentres: []*wire.DataCentre{{Name: "d1", Out: true}}}
	leaving := &wire.FleetConfig{Endpoints: []*wire.EndpointPolicy{{Endpoint: "x", State: wire.EndpointState_ENDPOINT_STATE_LEAVING}}}
	cases := []struct {
		filter  string
		report  func(*wire.GateReport)
		request func(*Request)
	}{
		{"serves", nil, func(r *Request) { r.Model = "other" }},
		{"serves", func(r *wire.GateReport) { r.Service = "m" }, nil},
		{"serves", nil, func(r *Request) { r.Service, r.Model = "m", "" }},
		{"data_centre", nil, func(r *Request) { r.View = fleet.NewView(out) }},
		{"endpoint_state", nil, func(r *Request) { r.View = fleet.NewView(leaving) }},
		{"endpoint_state", func(r *wire.GateReport) { r.Leaving = true }, nil},
		{"fresh", nil, func(r *Request) { r.Now = r.Now.Add(staleAfter + time.Second) }},
		{"ready", func(r *wire.GateReport) { r.Ready = false }, nil},
		{"role", func(r *wire.GateReport) { r.Role = "prefill" }, nil},
		{"memory", nil, func(r *Request) { r.PromptTokens, r.MaxOutputTokens = 600_000, 1 }},
		{"admit_limit", func(r *wire.GateReport) { r.Load.GateRunning, r.Load.GateWaiting = 8, 8 }, nil},
		{"excluded", nil, func(r *Request) { r.Excluded = []string{"x"} }},
	}
	for _, c := range cases {
		router := newAdaptiveRouter(t, newReport("x", c.report))
		r := newRequest(100)
		if _, err := router.Choose(r); err != nil && c.report == nil {
			t.Fatalf("the endpoint is dropped before the request changes: %v", err)
		}
		if c.request != nil {
			c.request(r)
		}
		if choice, err := router.Choose(r); err == nil {
			t.Errorf("%s keeps %s", c.filter, choice.Endpoint.Name())
		}
		router.Dropped(func(filter string, count int64) {
			if (count > 0) != (filter == c.filter) {
				t.Errorf("want drop by %s: %s dropped %d", c.filter, filter, count)
			}
		})
	}
}

func TestAdaptivePolicyPrefers(t *testing.T) {
	queue := func(tokens uint64) func(*wire.GateReport) {
		return func(r *wire.GateReport) { r.Load.GatePrefillTokens, r.Load.GateRunning = tokens, 1 }
	}
	prefix := []uint64{1, 2, 3, 4}
	cached := func(r *wire.GateReport) {
		r.CacheSequence, r.CacheEvents = 1, []*wire.CacheEvent{{Sequence: 1, Blocks: prefix}}
	}
	both := func(a, b func(*wire.GateReport)) func(*wire.GateReport) {
		return func(r *wire.GateReport) { a(r); b(r) }
	}
	cases := []struct {
		name   string
		tokens uint64
		a, b   func(*wire.GateReport)
		want   string
	}{
		{"the shorter queue", 1000, queue(9000), queue(2000), "b"},
		{"the cached prefix", 5000, cached, nil, "a"},
		{"a short queue over a cached prefix", 5000, both(cached, queue(30_000)), nil, "b"},
		{"no long prefill for a short prompt", 1000, queue(100_000), queue(3000), "b"},
		{"long prompts together", 100_000, queue(5000), func(r *wire.GateReport) { r.Load.GateRunning = 3 }, "a"},
	}
	for _, c := range cases {
		router := newAdaptiveRouter(t, newReport("a", c.a), newReport("b", c.b))
		for range 20 {
			r := newRequest(c.tokens)
			r.PrefixBlocks = prefix
			if choice, err := router.Choose(r); err != nil || choice.Endpoint.Name() != c.want {
				t.Fatalf("%s: %v, %v", c.name, choice.Endpoint, err)
			}
		}
	}
}

// Attempts sent since the last report are counted until a report counts them,
// and never twice.
func TestInFlightAttemptsAreCountedOnce(t *testing.T) {
	table := NewTable()
	table.Observe(newReport("x", nil), time.Now())
	e := table.Snapshot().Endpoints[0]
	e.InFlight.Start("a1", 5000, true)
	e.InFlight.Start("a2", 700, false)
	if e.queuedTokens() != 5700 || e.outstanding() != 2 || e.InFlight.LongPrefills() != 1 {
		t.Errorf("before the report: %d tokens, %d attempts", e.queuedTokens(), e.outstanding())
	}
	table.Observe(newReport("x", func(r *wire.GateReport) {
		r.Sequence = 2
		r.Load.GatePrefillTokens, r.Load.GateRunning, r.Load.AttemptsSeen = 5000, 1, []string{"a1"}
	}), time.Now())
	e = table.Snapshot().Endpoints[0]
	if e.queuedTokens() != 5700 || e.outstanding() != 2 {
		t.Errorf("after the report: %d tokens, %d attempts", e.queuedTokens(), e.outstanding())
	}
	e.InFlight.End("a1")
	e.InFlight.FirstToken("a2")
	e.InFlight.End("a2")
	e.InFlight.End("a2")
	if e.InFlight.UnreportedTokens() != 0 || e.InFlight.UnreportedAttempts() != 0 || e.InFlight.Running() != 0 || e.InFlight.LongPrefills() != 0 {
		t.Error("counts remain after the end")
	}
}

func TestRefusalsCarryRetryAfter(t *testing.T) {
	router := newAdaptiveRouter(t, newReport("x", func(r *wire.GateReport) { r.Load.GatePrefillTokens = 50_000 }))
	r := newRequest(1000)
	r.FirstTokenTimeout = time.Second
	_, err := router.Choose(r)
	var e *fault.Error
	if !errors.As(err, &e) || e.Kind != fault.DeadlineUnmeetable || e.RetryAfter < 4*time.Second || e.RetryAfter > 5*time.Second {
		t.Errorf("5.1 s of work before a deadline of 1 s: %v", err)
	}
	full := newAdaptiveRouter(t, newReport("x", func(r *wire.GateReport) { r.AdmitLimit = 0 }))
	if _, err := full.Choose(newRequest(1)); fault.KindOf(err) != fault.Overloaded {
		t.Errorf("full: %v", err)
	}
	if _, err := newAdaptiveRouter(t).Choose(newRequest(1)); fault.KindOf(err) != fault.OutOfService {
		t.Errorf("none: %v", err)
	}
}

// CacheView claims no more blocks than its events allow, and each gap lowers
// its estimate.
func TestCacheViewDecaysWithGaps(t *testing.T) {
	prefix := []uint64{1, 2, 3}
	view := NewCacheView()
	observe := func(sequence uint64, event *wire.CacheEvent) {
		r := &wire.GateReport{CacheSequence: sequence}
		if event != nil {
			event.Sequence = sequence
			r.CacheEvents = []*wire.CacheEvent{event}
		}
		view.Observe(r)
	}
	expect := func(what string, want float64) {
		t.Helper()
		if got := view.ExpectedReuse(prefix); got != want {
			t.Errorf("%s: %v blocks, want %v", what, got, want)
		}
	}
	observe(1, &wire.CacheEvent{Blocks: prefix})
	expect("stored", 3)
	observe(2, &wire.CacheEvent{Evicted: true, Blocks: []uint64{3}})
	expect("last evicted", 2)
	observe(5, nil)
	expect("after a gap", 1)
	observe(9, nil)
	expect("after two gaps", 0)
	observe(10, &wire.CacheEvent{Blocks: prefix})
	expect("stored again", 3)
	view.Observe(&wire.GateReport{EndpointBoot: "new", CacheSequence: 10})
	expect("restarted", 0)
}

// A report from a gate without the endpoint's lease does not replace that of
// the gate that holds it.
func TestTableKeepsTheGateWithTheLease(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(newReport("x", nil), now)
	other := newReport("x", func(r *wire.GateReport) { r.GateInstance, r.Ready = "other", false })
	table.Observe(other, now)
	if table.Snapshot().Endpoints[0].Report.GateInstance != "gx" {
		t.Error("a gate that is not ready replaced one that is")
	}
	table.Observe(other, now.Add(2*staleAfter))
	if table.Snapshot().Endpoints[0].Report.GateInstance != "other" {
		t.Error("a stale report is kept")
	}
}

// The picker leaves out no endpoint of equal cost, and picks none whose cost is
// far from the least.
func TestNearBestPicker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Float64Range(-1, 10), 1, 20).Draw(t, "costs")
		candidates := make([]Candidate, len(costs))
		least := costs[0]
		for i, cost := range costs {
			candidates[i].Cost = cost
			least = min(least, cost)
		}
		if got := (NearBestPicker{}).Pick(candidates).Cost; got > least+max(nearSeconds, nearRatio*max(least, -least)) {
			t.Fatalf("picked cost %v, the least is %v", got, least)
		}
	})
	taken := map[*Endpoint]bool{}
	equal := []Candidate{{Endpoint: &Endpoint{}}, {Endpoint: &Endpoint{}}, {Endpoint: &Endpoint{}}}
	for range 200 {
		taken[(NearBestPicker{}).Pick(equal).Endpoint] = true
	}
	if len(taken) != 3 {
		t.Errorf("%d of 3 equal endpoints were picked", len(taken))
	}
}

// With 10 candidates and a sample of 3, the two of the highest cost are never
// picked.
func TestSampledPickerAvoidsTheWorst(t *testing.T) {
	candidates := make([]Candidate, 10)
	taken := map[float64]int{}
	for range 2000 {
		for i := range candidates {
			candidates[i] = Candidate{Cost: float64(i + 1)}
		}
		taken[(SampledPicker{}).Pick(candidates).Cost]++
	}
	if taken[9] > 0 || taken[10] > 0 || taken[1] < taken[8] || len(taken) < 5 {
		t.Errorf("picks by cost: %v", taken)
	}
}

func newRouterOfSize(b testing.TB, size int) (*Router, *Request) {
	var reports []*wire.GateReport
	prefix := make([]uint64, 64)
	for i := range prefix {
		prefix[i] = uint64(i + 1)
	}
	for i := range size {
		reports = append(reports, newReport(fmt.Sprint("e", i), func(r *wire.GateReport) {
			r.Load.GatePrefillTokens = uint64(i * 100)
			r.CacheSequence, r.CacheEvents = 1, []*wire.CacheEvent{{Sequence: 1, Blocks: prefix[:i%64]}}
		}))
	}
	r := newRequest(70_000)
	r.PrefixBlocks = prefix
	return newAdaptiveRouter(b, reports...), r
}

func TestDecisionAllocatesNothing(t *testing.T) {
	for _, size := range []int{10, 50, 500} {
		router, r := newRouterOfSize(t, size)
		if n := testing.AllocsPerRun(100, func() { _, _ = router.Choose(r) }); n >= 1 {
			t.Errorf("%d endpoints: %v allocations a decision", size, n)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{10, 50, 200, 920} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			router, r := newRouterOfSize(b, size)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = router.Choose(r)
			}
		})
	}
}
