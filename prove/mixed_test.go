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
	seedsVariable = "APRICOTSPOKE_PROVE_SEEDS" // comma-separated seeds of the mixed run
	mixedSteps    = 14
	mixedStep     = 1200 * time.Millisecond // longest pause between two faults
	wholeDeadline = 60 * time.Second        // of the contract, for prompts this short
	deadlineSlack = 10 * time.Second        // for a busy machine
)

// TestMixedFaults causes random faults, several at once, under streams and
// bookings, and checks the invariants once all is mended.
func TestMixedFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { mixedRun(t, seed) })
	}
}

func seeds(t *testing.T) []uint64 {
	t.Helper()
	text := os.Getenv(seedsVariable)
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

func mixedRun(t *testing.T, seed uint64) {
	f := start(t, true, engine("engine1", "dc1"), engine("engine2", "dc2"), engine("engine3", "dc3"), booking("dc3", "--service-ms=50"))
	background := f.startLoad(6, 60)
	visits := f.startBookings(3, seed)
	m := &mixer{fixture: f, random: rand.New(rand.NewPCG(seed, 0))}
	for range mixedSteps {
		m.step()
		sleep(time.Duration(m.random.Int64N(int64(mixedStep))))
	}
	m.mendAll()
	f.must(f.AwaitReady(t.Context()))
	background.stop()
	visits.stop()
	t.Logf("seed %d: load %d right, %d refused, %d faulty; %d bookings", seed, background.right, background.refused, len(background.faulty), len(visits.settled))
	if background.right == 0 || len(background.wrong) > 0 {
		t.Errorf("%d right, wrong: %s", background.right, strings.Join(background.wrong, "\n"))
	}
	f.checkVisits(visits)
	f.checkInvariants()
}

// mixer causes faults and mends them in random order.
type mixer struct {
	*fixture
	random *rand.Rand
	open   []openFault
}

type openFault struct {
	name string
	mend func() error
}

func (m *mixer) step() {
	if len(m.open) > 0 && m.random.IntN(2) == 0 {
		m.mend(m.random.IntN(len(m.open)))
	}
	faults := []func() openFault{m.killProcess, m.freezeProcess, m.turnEndpoint, m.silenceLink, m.partitionLink, m.takeOut}
	next := faults[m.random.IntN(len(faults))]()
	if next.name == "" {
		return
	}
	m.t.Logf("fault: %s", next.name)
	if next.mend != nil {
		m.open = append(m.open, next)
	}
}

func (m *mixer) mend(i int) {
	m.t.Logf("mended: %s", m.open[i].name)
	m.must(m.open[i].mend())
	m.open = append(m.open[:i], m.open[i+1:]...)
}

func (m *mixer) mendAll() {
	for len(m.open) > 0 {
		m.mend(0)
	}
}

// process is what the mixer stops; two faults never meet on one process.
type process interface {
	Kill() error
	Start() error
	Suspend() error
	Resume() error
}

func (m *mixer) pick() (string, process) {
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

// free reports whether a process has no open fault, and no other control
// replica has one: two of three may not be lost at once.
func (m *mixer) free(name string) bool {
	for _, fault := range m.open {
		if strings.HasSuffix(fault.name, " "+name) {
			return false
		}
		if strings.HasPrefix(name, "control") && strings.Contains(fault.name, " control") {
			return false
		}
	}
	return true
}

func (m *mixer) killProcess() openFault {
	name, p := m.pick()
	if !m.free(name) {
		return openFault{}
	}
	m.must(p.Kill())
	return openFault{"kill " + name, p.Start}
}

func (m *mixer) freezeProcess() openFault {
	name, p := m.pick()
	if !m.free(name) {
		return openFault{}
	}
	m.must(p.Suspend())
	return openFault{"freeze " + name, p.Resume}
}

func (m *mixer) turnEndpoint() openFault {
	e := m.Endpoints[m.random.IntN(len(m.Endpoints))]
	breaking := m.random.IntN(2) == 0
	m.must(e.Restart(m.t.Context(), breaking))
	return openFault{name: fmt.Sprintf("turn cold, connections break %v, %s", breaking, e.Name)}
}

func (m *mixer) link() (string, *faultproxy.Proxy) {
	links := m.Links.All()
	chosen := links[m.random.IntN(len(links))]
	return chosen.From + " to " + chosen.To, chosen.Proxy
}

func (m *mixer) silenceLink() openFault {
	name, proxy := m.link()
	direction := []faultproxy.Direction{faultproxy.Up, faultproxy.Down, faultproxy.Both}[m.random.IntN(3)]
	proxy.BlackholeConnections(direction)
	return openFault{name: fmt.Sprintf("silence direction %d of link %s", direction, name)}
}

func (m *mixer) partitionLink() openFault {
	name, proxy := m.link()
	proxy.Partition()
	return openFault{"partition link " + name + " ", func() error {
		proxy.Heal()
		return nil
	}}
}

// takeOut takes a data centre out, if control can be reached from here.
func (m *mixer) takeOut() openFault {
	name := fmt.Sprintf("dc%d", 1+m.random.IntN(3))
	if !m.free(name) || m.TakeOutOfService(m.t.Context(), name) != nil {
		return openFault{}
	}
	return openFault{"take out " + name, func() error { return m.ReturnToService(m.t.Context(), name) }}
}

// visits are bookings that jobs make and settle.
type visits struct {
	end  chan struct{}
	jobs sync.WaitGroup

	mu      sync.Mutex
	settled map[string]settlement
}

// settlement is the last answer to a booking that its caller acted on.
type settlement struct {
	ok     bool
	notRun bool // the caller gave up on it: it must never run
	last   string
}

func (f *fixture) startBookings(jobs int, seed uint64) *visits {
	v := &visits{end: make(chan struct{}), settled: make(map[string]settlement)}
	for job := range jobs {
		random := rand.New(rand.NewPCG(seed, uint64(job)+1))
		v.jobs.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-v.end:
					return
				default:
				}
				visit := fmt.Sprintf("visit-%d-%d", job, i)
				outcome := f.settle(visit, random)
				v.mu.Lock()
				v.settled[visit] = outcome
				v.mu.Unlock()
			}
		})
	}
	return v
}

// settle sends a booking until its outcome is known. Some callers give up when
// they are told that it has not run.
func (f *fixture) settle(visit string, random *rand.Rand) settlement {
	givesUp := random.IntN(2) == 0
	entry := random.IntN(len(f.Entries))
	started := time.Now()
	for {
		result := f.book(entry, visit)
		switch {
		case result.OK():
			return settlement{ok: true}
		case result.NotRun() && givesUp:
			return settlement{notRun: true, last: describe(result)}
		case result.Status == http.StatusBadGateway, time.Since(started) > settleLimit:
			return settlement{last: describe(result)}
		}
		entry = (entry + 1) % len(f.Entries)
		time.Sleep(resendPause)
	}
}

func (v *visits) stop() {
	close(v.end)
	v.jobs.Wait()
}

// checkVisits holds what callers were told against the endpoint's own counter.
func (f *fixture) checkVisits(v *visits) {
	f.t.Helper()
	state, err := f.endpointNamed("booking").State(f.t.Context())
	f.must(err)
	unknown := 0
	for visit, outcome := range v.settled {
		runs := state.RunsByKey[visit]
		switch {
		case outcome.ok && runs != 1:
			f.t.Errorf("%s succeeded and ran %d times", visit, runs)
		case outcome.notRun && runs != 0:
			f.t.Errorf("%s was said not to have run and ran %d times: %s", visit, runs, outcome.last)
		case runs > 1:
			f.t.Errorf("%s ran %d times: %s", visit, runs, outcome.last)
		}
		if !outcome.ok && !outcome.notRun {
			unknown++
			f.t.Logf("%s ran %d times, outcome unknown to its caller: %s", visit, runs, outcome.last)
		}
	}
	f.t.Logf("%d bookings, of which %d unknown", len(v.settled), unknown)
}
