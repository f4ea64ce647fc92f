//go:build prove

package prove

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/completions"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

const (
	seed          = 20
	leaveTime     = 3 * time.Second // until a data centre that is out gets no new work
	watchTime     = 3 * time.Second
	shutdownLimit = time.Minute
	memoryLimit   = 256 << 20 // bytes, of an entry or agent
)

// TestEntryKilledAroundBooking kills an entry at seeded moments around a
// booking that the caller then resends through the other entry.
func TestEntryKilledAroundBooking(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1"), booking("dc3", "--service-ms=200"))
	random := rand.New(rand.NewPCG(seed, 0))
	for round := range 8 {
		visit := fmt.Sprintf("visit-%d", round)
		first := make(chan caller.Result, 1)
		go func() { first <- f.book(0, visit) }()
		delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		sleep(delay)
		f.must(f.Entries[0].Kill())
		second := f.bookUntilSettled(1, visit)
		f.checkBooking(visit, delay, <-first, second)
		f.must(f.Entries[0].Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.checkInvariants()
}

// checkBooking holds the endpoint's own counter against what callers were told.
func (f *fixture) checkBooking(visit string, delay time.Duration, results ...caller.Result) {
	f.t.Helper()
	runs := f.keyRuns(visit)
	if runs > 1 {
		f.t.Errorf("%s (killed after %s) ran %d times", visit, delay, runs)
	}
	last := results[len(results)-1]
	if last.OK() && runs != 1 {
		f.t.Errorf("%s (killed after %s) succeeded and ran %d times", visit, delay, runs)
	}
	if !last.OK() && last.Status != http.StatusBadGateway {
		f.t.Errorf("%s (killed after %s) was never settled: %s", visit, delay, describe(last))
	}
	f.t.Logf("%s: killed after %s, ran %d times, then %d", visit, delay.Round(time.Millisecond), runs, last.Status)
}

// TestDataCentreOutWithEntryCutOff takes a data centre out while an entry and
// a gate are cut off from control: no new work after 3 s by the endpoints' own
// counters, and the running work is not cut.
func TestDataCentreOutWithEntryCutOff(t *testing.T) {
	f := start(t, true, engine("engine1", "dc1"), engine("engine2", "dc2"))
	running := f.startStreams(4, 1200)
	background := f.startLoad(4, 10)
	f.cutOffFromControl("entry1")
	f.cutOffFromControl("agent-engine1")
	f.must(f.TakeOutOfService(t.Context(), "dc1"))
	sleep(leaveTime)
	before, err := f.Arrivals(t.Context(), "dc1")
	f.must(err)
	sleep(watchTime)
	after, err := f.Arrivals(t.Context(), "dc1")
	f.must(err)
	background.stop()
	if after != before {
		t.Errorf("dc1 got %d attempts although it was out", after-before)
	}
	f.requireRight(running)
	f.requireLoad(background)
	f.checkInvariants()
}

// requireLoad fails for answers that were neither right nor refused as not run.
func (f *fixture) requireLoad(l *load) {
	f.t.Helper()
	f.t.Logf("load: %d right, %d refused, %d faulty, %d wrong", l.right, l.refused, len(l.faulty), len(l.wrong))
	if l.right == 0 || len(l.faulty) > 0 {
		f.t.Errorf("load: %d right, faulty: %.2000s", l.right, strings.Join(l.faulty, "\n"))
	}
}

// TestEndpointColdRestartUnderLoad turns an endpoint cold without warning, with
// and without its connections breaking: it never gets more than it can carry.
func TestEndpointColdRestartUnderLoad(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1"), engine("engine2", "dc2"))
	background := f.startLoad(12, 40)
	for i := range 6 {
		sleep(1500 * time.Millisecond)
		f.must(f.Endpoints[i%2].Restart(t.Context(), i%4 < 2))
	}
	sleep(2 * time.Second)
	background.stop()
	t.Logf("load: %d right, %d refused, %d faulty", background.right, background.refused, len(background.faulty))
	if background.right == 0 || len(background.wrong) > 0 {
		t.Errorf("%d right, wrong: %s", background.right, strings.Join(background.wrong, "\n"))
	}
	f.checkInvariants()
}

// TestGracefulShutdownUnderStreams ends an entry, an agent and a control
// replica under streams: none is cut, and each process ends by itself.
func TestGracefulShutdownUnderStreams(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1"), engine("engine2", "dc2"))
	for _, process := range []interface {
		Shutdown(time.Duration) error
		Start() error
	}{f.Entries[0], f.Endpoints[0].Agent, f.Controls[0]} {
		streams := f.startStreams(6, 300)
		if err := process.Shutdown(shutdownLimit); err != nil {
			t.Error(err)
		}
		f.requireRight(streams)
		f.must(process.Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.checkInvariants()
}

// TestSilentLinksMidStream makes the links under running streams silent for
// good, while new ones work: every stream is whole.
func TestSilentLinksMidStream(t *testing.T) {
	f := start(t, true, engine("engine1", "dc1"), engine("engine2", "dc2"))
	for _, direction := range []faultproxy.Direction{faultproxy.Up, faultproxy.Down, faultproxy.Both} {
		for _, ends := range [][2]string{{"entry1", "agent-engine1"}, {"agent-engine1", "engine1"}} {
			streams := f.startStreams(6, 600)
			proxy, err := f.Links.Between(ends[0], ends[1])
			f.must(err)
			silenced := proxy.BlackholeConnections(direction)
			t.Logf("%d connections from %s to %s are silent, direction %d", silenced, ends[0], ends[1], direction)
			f.requireRight(streams)
		}
	}
	f.checkInvariants()
}

// TestMillionTokensWithinMemory sends prompts of a million tokens.
func TestMillionTokensWithinMemory(t *testing.T) {
	f := start(t, false, engine("engine1", "dc1", "--memory-tokens=2400000", "--prefill-rate=1000000"))
	prompt := strings.Repeat("goal", 1_000_000)
	for i := range 2 {
		request := completions.Request{Model: model, Prompt: prompt, MaxTokens: 8, Stream: i == 0}
		result := f.client.Send(t.Context(), caller.Completion(f.Entries[i].HTTPAddress, key, request))
		if !result.OK() || result.Text != completions.Text(prompt, 8) {
			t.Errorf("through entry %d: %s", i+1, describe(result))
		}
	}
	for _, p := range []interface{ PeakMemoryBytes() (uint64, error) }{f.Entries[0], f.Entries[1], f.Endpoints[0].Agent} {
		peak, err := p.PeakMemoryBytes()
		f.must(err)
		t.Logf("peak memory %d MiB", peak>>20)
		if peak > memoryLimit {
			t.Errorf("peak memory %d MiB", peak>>20)
		}
	}
	f.checkInvariants()
}

// cutOffFromControl partitions a process from all control replicas.
func (f *fixture) cutOffFromControl(name string) {
	for _, proxy := range f.Links.ProxiesOf(name, func(other string) bool { return strings.HasPrefix(other, "control") }) {
		proxy.Partition()
	}
}
