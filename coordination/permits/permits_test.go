package permits

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/rendezvous"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

// The rule of the users: an endpoint gets in any window at most limitFactor times what its
// limit allows, and limitSlack requests.
const (
	window      = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of times within one window.
func mostInWindow(times []monotonic.Time) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// An issuer must not exceed the limit by more than one burst, however it is asked.
func TestIssuerKeepsTheRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(minPerSecond, 50).Draw(t, "perSecond")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 400).Draw(t, "gaps")
		now := monotonic.Time(0)
		i := NewIssuer(func() monotonic.Time { return now })
		var granted []monotonic.Time
		for _, ms := range gaps {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if ok, retryAfter := i.Take(1, perSecond); ok {
				granted = append(granted, now)
			} else if retryAfter <= 0 || retryAfter > maxTurnWait {
				t.Fatalf("Retry-After %v", retryAfter)
			}
		}
		burst := max(minBurst, perSecond*burstTime.Seconds())
		if most, allowed := mostInWindow(granted), perSecond*window.Seconds()+burst; float64(most) > allowed {
			t.Fatalf("%d permits in %v at %v a second, allowed %v", most, window, perSecond, allowed)
		}
	})
}

// takeAtOnce asks for 100 permits at one moment and returns how many it got.
func takeAtOnce(i *Issuer, perSecond float64) int {
	granted := 0
	for range 100 {
		if ok, _ := i.Take(1, perSecond); ok {
			granted++
		}
	}
	return granted
}

// A limit that falls must leave no permits over from the higher one.
func TestFallenLimitLeavesNoBurst(t *testing.T) {
	now := monotonic.Time(0)
	i := NewIssuer(func() monotonic.Time { return now })
	i.Take(1, 100)
	now = now.Add(time.Minute / 2)
	if granted := takeAtOnce(i, 1); granted > minBurst {
		t.Errorf("%d permits at once, want %d at most", granted, minBurst)
	}
}

// A limit that rises must not fill the time before it at the higher rate.
func TestRisenLimitFillsOnlyTheTimeAfterIt(t *testing.T) {
	now := monotonic.Time(0)
	i := NewIssuer(func() monotonic.Time { return now })
	i.Take(1, 0.5)
	now = now.Add(time.Second)
	if granted := takeAtOnce(i, 40); granted > minBurst {
		t.Errorf("%d permits at the moment of the rise, want %d at most", granted, minBurst)
	}
}

// simulation is a fleet of entries in virtual time, all of which send to one endpoint.
type simulation struct {
	now       monotonic.Time
	perSecond float64
	endpoint  *directory.Endpoint
	processes []*wire.ProcessRecord
	entries   map[string]*simulatedEntry
	sent      []monotonic.Time
	asked     int
	isCut     func(from, to string) bool
}

type simulatedEntry struct {
	permits     *Permits
	deniedUntil monotonic.Time
}

func newSimulation(entries, dataCentres int, perSecond float64) *simulation {
	s := &simulation{
		perSecond: perSecond, entries: make(map[string]*simulatedEntry), isCut: func(_, _ string) bool { return false },
		endpoint: &directory.Endpoint{ID: "e", DataCentre: "dc0", Key: directory.KeyOf("e", 1)},
	}
	for i := range entries {
		s.processes = append(s.processes, &wire.ProcessRecord{
			Entry: true, Address: fmt.Sprintf("10.0.%d.%d:7341", i/200, i%200), DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
		})
	}
	for _, p := range s.processes {
		s.restart(p.Address)
	}
	return s
}

// AllowedRate implements Limits.
func (s *simulation) AllowedRate(uint64) float64 { return s.perSecond }

// RateLimitMessage implements Limits.
func (s *simulation) RateLimitMessage(uint64) *wire.RateLimit { return nil }

// MergeRateLimit implements Limits.
func (s *simulation) MergeRateLimit(uint64, *wire.RateLimit) {}

// restart starts an entry that knows nothing.
func (s *simulation) restart(address string) {
	ask := func(_ context.Context, to string, q *wire.PermitRequest) (*wire.PermitResponse, error) {
		s.asked++
		if s.isCut(address, to) {
			return nil, errors.New("no answer")
		}
		return s.entries[to].permits.Answer(q), nil
	}
	p := New(address, s, func() []*wire.ProcessRecord { return s.processes }, ask, func() monotonic.Time { return s.now })
	s.entries[address] = &simulatedEntry{permits: p}
}

// issuers returns the addresses of the entries in the order in which they are issuers.
func (s *simulation) issuers() []string {
	var order []string
	for range s.processes {
		order = append(order, rendezvous.First(s.endpoint.Key, s.endpoint.DataCentre, s.processes, func(address string) bool { return !slices.Contains(order, address) }))
	}
	return order
}

// run has each entry send a request whenever it may, at most each 20 ms.
func (s *simulation) run(t *testing.T, lasting time.Duration, eachStep func()) {
	for end := s.now.Add(lasting); s.now < end; s.now = s.now.Add(20 * time.Millisecond) {
		eachStep()
		for _, p := range s.processes {
			e := s.entries[p.Address]
			if s.now < e.deniedUntil {
				continue
			}
			granted, retryAfter := e.permits.Take(t.Context(), s.endpoint, math.Inf(1))
			if granted && retryAfter != 0 {
				t.Fatalf("%s got a permit and is not to ask for %v", p.Address, retryAfter)
			}
			if granted {
				s.sent = append(s.sent, s.now)
				continue
			}
			e.deniedUntil = s.now.Add(retryAfter)
		}
	}
}

func (s *simulation) check(t *testing.T) {
	t.Helper()
	if most, allowed := mostInWindow(s.sent), limitFactor*s.perSecond*window.Seconds()+limitSlack; float64(most) > allowed {
		t.Errorf("%d requests in %v, allowed %v", most, window, allowed)
	}
}

// A fleet of hundreds must use the limit and keep it, with few calls.
func TestLimitHoldsOverFleetsOfAllSizes(t *testing.T) {
	const lasting = time.Minute
	for _, entries := range []int{1, 8, 70, 370} {
		for _, perSecond := range []float64{0.3, 1, 1.6, 12, 40} {
			t.Run(fmt.Sprintf("%d entries, %v a second", entries, perSecond), func(t *testing.T) {
				s := newSimulation(entries, 3, perSecond)
				s.run(t, lasting, func() {})
				s.check(t)
				possible := perSecond * lasting.Seconds()
				t.Logf("%d requests of %v, %d calls", len(s.sent), possible, s.asked)
				if got := float64(len(s.sent)); got < 0.8*possible-minBurst {
					t.Errorf("%v requests were sent, the limit allows %v", got, possible)
				}
				// One call a permit, one for each turn, and those of the entries whose turn is
				// further away than maxTurnWait.
				if most := 2*possible + 2*float64(entries)*lasting.Seconds()/maxTurnWait.Seconds(); float64(s.asked) > most {
					t.Errorf("%d calls, want %v at most", s.asked, most)
				}
			})
		}
	}
}

// Entries that are restarted, and links that fail in one direction or both, must not lead
// to more requests than the limit allows.
func TestLimitHoldsWhileIssuersFailAndViewsDiffer(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSimulation(2+random.IntN(60), 1+random.IntN(4), 0.5+random.Float64()*10)
			cut := make(map[[2]string]bool)
			s.isCut = func(from, to string) bool { return cut[[2]string{from, to}] }
			pick := func() string { return s.processes[random.IntN(len(s.processes))].Address }
			order := s.issuers()
			s.run(t, time.Minute, func() {
				switch random.IntN(100) {
				case 0:
					s.restart(order[random.IntN(min(3, len(order)))])
				case 1:
					clear(cut)
				case 2, 3, 4, 5:
					for range len(s.processes) / 4 {
						cut[[2]string{pick(), order[random.IntN(min(3, len(order)))]}] = true
					}
				}
			})
			s.check(t)
		})
	}
}

// An issuer that was just started knows neither that an endpoint is cold nor that its limit
// has just ended: it must keep the rate that the sender knows.
func TestIssuerKeepsTheRateThatTheSenderKnows(t *testing.T) {
	s := newSimulation(2, 1, math.Inf(1))
	issuer := s.entries[s.issuers()[0]].permits
	q := &wire.PermitRequest{Endpoint: s.endpoint.Key, DataCentre: s.endpoint.DataCentre, PerSecond: 1}
	granted := 0
	for range 100 {
		if issuer.Answer(q).Granted {
			granted++
		}
	}
	if granted > minBurst {
		t.Errorf("%d permits at once, want %d at most", granted, minBurst)
	}
}

// When the issuer is gone, the next one must take its place.
func TestNextIssuerIsAskedWhenTheFirstIsGone(t *testing.T) {
	s := newSimulation(6, 3, 8)
	first := s.issuers()[0]
	s.isCut = func(from, to string) bool { return from == first || to == first }
	s.run(t, 30*time.Second, func() {})
	s.check(t)
	if least := 0.7 * 30 * 8 / fallbackDivisor; float64(len(s.sent)) < least {
		t.Errorf("%d requests were sent, want %v at least", len(s.sent), least)
	}
}

// An endpoint without a limit needs no permit, and no call.
func TestUnlimitedEndpointNeedsNoPermit(t *testing.T) {
	s := newSimulation(3, 1, math.Inf(1))
	s.run(t, time.Second, func() {})
	if s.asked != 0 || len(s.sent) != 150 {
		t.Errorf("%d calls, %d requests", s.asked, len(s.sent))
	}
}

// A caller that leaves says nothing of the issuer.
func TestCancelledRequestDoesNotDoubtTheIssuer(t *testing.T) {
	s := newSimulation(6, 1, 5)
	s.isCut = func(_, _ string) bool { return true }
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, e := range s.entries {
		e.permits.Take(ctx, s.endpoint, math.Inf(1))
		if e.permits.outages.Any() {
			t.Error("an issuer was marked as unreachable")
		}
	}
}

// Each entry must know its place, by which it divides the rate.
func TestPlaceFollowsTheOrderOfIssuers(t *testing.T) {
	s := newSimulation(20, 3, 1)
	for place, address := range s.issuers() {
		if got := rendezvous.Place(address, s.endpoint.Key, s.endpoint.DataCentre, s.processes); got != place {
			t.Errorf("%s has place %d, want %d", address, got, place)
		}
	}
	if got := rendezvous.Place("unknown", s.endpoint.Key, s.endpoint.DataCentre, s.processes); got != 0 {
		t.Errorf("an entry that the others don't list has place %d", got)
	}
}

// The issuers of many endpoints must be spread over the entries of their data centre.
func TestIssuersAreSpreadOverTheDataCentre(t *testing.T) {
	s := newSimulation(30, 3, 1)
	count := make(map[string]int)
	for key := range uint64(1000) {
		count[rendezvous.First(key*7919, "dc1", s.processes, func(string) bool { return true })]++
	}
	for _, p := range s.processes {
		n := count[p.Address]
		if local := p.DataCentre == "dc1"; local && (n < 40 || n > 250) || !local && n != 0 {
			t.Errorf("%s in %s is the issuer of %d of 1000 endpoints", p.Address, p.DataCentre, n)
		}
	}
}
