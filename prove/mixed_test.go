//go:build prove

package prove

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

const (
	seedsEnv         = "APRICOTSPOKE_PROVE_SEEDS" // comma-separated seeds of the mixed run
	mixedSteps       = 14                         // steps of a run, each with at most one new fault
	maxFaultPause    = 1200 * time.Millisecond    // between two steps
	wholeAnswerLimit = 60 * time.Second           // of the contract, for prompts this short
	deadlineSlack    = 10 * time.Second           // for a busy machine
)

// TestMixedFaults injects random faults, several at once, while streams and
// bookings run, and repairs them. No answer may have wrong text or come too late,
// no booking may run twice or contrary to its answer, and the invariants must
// hold. Answers may be incomplete or fail, as a killed process ends what it
// relays.
func TestMixedFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runMixedFaults(t, seed) })
	}
}

func seeds(t *testing.T) []uint64 {
	t.Helper()
	text := os.Getenv(seedsEnv)
	if text == "" {
		text = "1,2,3"
	}
	var list []uint64
	for field := range strings.SplitSeq(text, ",") {
		value, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, value)
	}
	return list
}

func runMixedFaults(t *testing.T, seed uint64) {
	f := startFleet(t, true, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"), engineOptions("engine3", "dc3"), bookingOptions("dc3", "--service-ms=50"))
	background := f.startLoad(6, 60)
	pending := f.startBookings(3, seed)
	m := &faultInjector{fixture: f, random: rand.New(rand.NewPCG(seed, 0))}
	for range mixedSteps {
		m.step()
		sleep(time.Duration(m.random.Int64N(int64(maxFaultPause))))
	}
	m.repairAll()
	f.must(f.AwaitReady(t.Context()))
	background.stop()
	pending.stop()
	t.Logf("seed %d: load %d correct, %d refused, %d failed; %d bookings", seed, background.correct, background.refused, len(background.failed), len(pending.settlements))
	if background.correct == 0 || len(background.wrong) > 0 {
		t.Errorf("%d correct, wrong: %s", background.correct, strings.Join(background.wrong, "\n"))
	}
	f.checkBookings(pending)
	f.checkInvariants()
}

// faultInjector injects faults and repairs them in random order.
type faultInjector struct {
	*fixture
	random *rand.Rand
	active []activeFault
}

// activeFault is a fault that is not repaired yet. The name of a fault of a
// process or data centre ends with its name; an empty name stands for no fault.
type activeFault struct {
	name   string
	repair func() error
}

// step may repair a fault, and injects one. It injects none if the process or data
// centre that it picks is not available, or if control does not confirm a change.
func (m *faultInjector) step() {
	if len(m.active) > 0 && m.random.IntN(2) == 0 {
		m.repair(m.random.IntN(len(m.active)))
	}
	faults := []func() activeFault{m.killProcess, m.suspendProcess, m.restartEndpointCold, m.blackholeLink, m.partitionLink, m.takeDataCentreOut}
	next := faults[m.random.IntN(len(faults))]()
	if next.name == "" {
		return
	}
	m.t.Logf("fault: %s", next.name)
	if next.repair != nil {
		m.active = append(m.active, next)
	}
}

func (m *faultInjector) repair(i int) {
	m.t.Logf("repaired: %s", m.active[i].name)
	m.must(m.active[i].repair())
	m.active = append(m.active[:i], m.active[i+1:]...)
}

func (m *faultInjector) repairAll() {
	for len(m.active) > 0 {
		m.repair(0)
	}
}

// process is a process that can be killed and suspended. No process has two faults
// at once.
type process interface {
	Kill() error
	Start() error
	Suspend() error
	Resume() error
}

// pickProcess returns a random control replica, entry or agent.
func (m *faultInjector) pickProcess() (string, process) {
	switch m.random.IntN(3) {
	case 0:
		c := m.Controls[m.random.IntN(len(m.Controls))]
		return c.Name, c
	case 1:
		e := m.Entries[m.random.IntN(len(m.Entries))]
		return e.Name, e
	}
	a := m.Endpoints[m.random.IntN(len(m.Endpoints))].Agent
	return a.Name, a
}

// available reports whether a process or data centre may get a fault: it has none,
// and if it is a control replica, no other one has a fault and no link of one is
// partitioned, as two of three lost would lose the quorum.
func (m *faultInjector) available(name string) bool {
	for _, fault := range m.active {
		if strings.HasSuffix(fault.name, " "+name) {
			return false
		}
		if strings.HasPrefix(name, "control") && strings.Contains(fault.name, " control") {
			return false
		}
	}
	return true
}

func (m *faultInjector) killProcess() activeFault {
	name, p := m.pickProcess()
	if !m.available(name) {
		return activeFault{}
	}
	m.must(p.Kill())
	return activeFault{"kill " + name, p.Start}
}

func (m *faultInjector) suspendProcess() activeFault {
	name, p := m.pickProcess()
	if !m.available(name) {
		return activeFault{}
	}
	m.must(p.Suspend())
	return activeFault{"suspend " + name, p.Resume}
}

func (m *faultInjector) restartEndpointCold() activeFault {
	e := m.Endpoints[m.random.IntN(len(m.Endpoints))]
	breaking := m.random.IntN(2) == 0
	m.must(e.Restart(m.t.Context(), breaking))
	return activeFault{name: fmt.Sprintf("restart cold, connections break %v, %s", breaking, e.Name)}
}

func (m *faultInjector) pickLink() (string, *faultproxy.Proxy) {
	links := m.Links.All()
	chosen := links[m.random.IntN(len(links))]
	return chosen.From + " to " + chosen.To, chosen.Proxy
}

func (m *faultInjector) blackholeLink() activeFault {
	name, proxy := m.pickLink()
	direction := []faultproxy.Direction{faultproxy.Up, faultproxy.Down, faultproxy.Both}[m.random.IntN(3)]
	proxy.BlackholeConnections(direction)
	return activeFault{name: fmt.Sprintf("blackhole direction %d of link %s", direction, name)}
}

func (m *faultInjector) partitionLink() activeFault {
	name, proxy := m.pickLink()
	proxy.Partition()
	// The trailing space keeps available from taking it for a fault of a process.
	return activeFault{"partition link " + name + " ", func() error {
		proxy.Heal()
		return nil
	}}
}

// takeDataCentreOut takes a data centre out of service. It does nothing if control
// does not confirm the change.
func (m *faultInjector) takeDataCentreOut() activeFault {
	name := fmt.Sprintf("dc%d", 1+m.random.IntN(3))
	if !m.available(name) || m.TakeOutOfService(m.t.Context(), name) != nil {
		return activeFault{}
	}
	return activeFault{"take out " + name, func() error { return m.ReturnToService(m.t.Context(), name) }}
}

// bookings holds the outcomes of the bookings that several workers make.
type bookings struct {
	stopped chan struct{}
	workers sync.WaitGroup

	mu          sync.Mutex
	settlements map[string]settlement
}

// settlement is what the caller of a booking knows of it in the end.
type settlement struct {
	ok         bool
	notRun     bool // the caller gave up after an answer that it has not run; it must never run
	lastAnswer string
}

func (f *fixture) startBookings(workers int, seed uint64) *bookings {
	b := &bookings{stopped: make(chan struct{}), settlements: make(map[string]settlement)}
	for worker := range workers {
		random := rand.New(rand.NewPCG(seed, uint64(worker)+1))
		b.workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-b.stopped:
					return
				default:
				}
				bookingKey := fmt.Sprintf("visit-%d-%d", worker, i)
				outcome := f.settleBooking(bookingKey, random)
				b.mu.Lock()
				b.settlements[bookingKey] = outcome
				b.mu.Unlock()
			}
		})
	}
	return b
}

// settleBooking sends a booking through the entries in turn until its outcome is
// known. Half of the callers give up when it is refused as not run.
func (f *fixture) settleBooking(bookingKey string, random *rand.Rand) settlement {
	givesUp := random.IntN(2) == 0
	entry := random.IntN(len(f.Entries))
	started := time.Now()
	for {
		result := f.sendBooking(entry, bookingKey)
		switch {
		case result.OK():
			return settlement{ok: true}
		case result.NotRun() && givesUp:
			return settlement{notRun: true, lastAnswer: describe(result)}
		case result.Status == http.StatusBadGateway, time.Since(started) > settleTimeout:
			return settlement{lastAnswer: describe(result)}
		}
		entry = (entry + 1) % len(f.Entries)
		time.Sleep(retryInterval)
	}
}

func (b *bookings) stop() {
	close(b.stopped)
	b.workers.Wait()
}

// checkBookings compares the outcomes that callers know with the endpoint's own
// count of runs.
func (f *fixture) checkBookings(b *bookings) {
	f.t.Helper()
	state, err := f.endpointNamed("booking").State(f.t.Context())
	f.must(err)
	unknown := 0
	for bookingKey, outcome := range b.settlements {
		runs := state.RunsByKey[bookingKey]
		switch {
		case outcome.ok && runs != 1:
			f.t.Errorf("%s succeeded and ran %d times", bookingKey, runs)
		case outcome.notRun && runs != 0:
			f.t.Errorf("%s was reported as not run and ran %d times: %s", bookingKey, runs, outcome.lastAnswer)
		case runs > 1:
			f.t.Errorf("%s ran %d times: %s", bookingKey, runs, outcome.lastAnswer)
		}
		if !outcome.ok && !outcome.notRun {
			unknown++
			f.t.Logf("%s ran %d times, outcome unknown to its caller: %s", bookingKey, runs, outcome.lastAnswer)
		}
	}
	f.t.Logf("%d bookings, %d with an unknown outcome", len(b.settlements), unknown)
}
