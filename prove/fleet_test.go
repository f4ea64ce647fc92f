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
	seed             = 20
	outTakesEffect   = 3 * time.Second // after which a data centre that is out gets no new work
	observationTime  = 3 * time.Second // in which no new work may arrive
	shutdownTimeout  = time.Minute
	memoryLimitBytes = 256 << 20 // peak of an entry or agent
)

// TestEntryKilledAroundBooking kills an entry at seeded moments during a booking,
// which the caller then resends through the other entry. The booking must not run
// twice, and must have run once if the resend succeeds.
func TestEntryKilledAroundBooking(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"), bookingOptions("dc3", "--service-ms=200"))
	random := rand.New(rand.NewPCG(seed, 0))
	for round := range 8 {
		bookingKey := fmt.Sprintf("visit-%d", round)
		first := make(chan caller.Result, 1)
		go func() { first <- f.sendBooking(0, bookingKey) }()
		delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		sleep(delay)
		f.must(f.Entries[0].Kill())
		second := f.bookUntilSettled(1, bookingKey)
		f.checkBooking(bookingKey, delay, <-first, second)
		f.must(f.Entries[0].Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.checkInvariants()
}

// checkBooking compares the last answer to a booking with the endpoint's own count
// of runs. delay is the time from the first send to the fault. The last answer
// must be a success, or 502 for an unknown outcome.
func (f *fixture) checkBooking(bookingKey string, delay time.Duration, results ...caller.Result) {
	f.t.Helper()
	runs := f.keyRuns(bookingKey)
	if runs > 1 {
		f.t.Errorf("%s (fault after %s) ran %d times", bookingKey, delay, runs)
	}
	last := results[len(results)-1]
	if last.OK() && runs != 1 {
		f.t.Errorf("%s (fault after %s) succeeded and ran %d times", bookingKey, delay, runs)
	}
	if !last.OK() && last.Status != http.StatusBadGateway {
		f.t.Errorf("%s (fault after %s) neither succeeded nor got the answer that its outcome is unknown: %s", bookingKey, delay, describe(last))
	}
	f.t.Logf("%s: fault after %s, ran %d times, then %d", bookingKey, delay.Round(time.Millisecond), runs, last.Status)
}

// TestDataCentreOutWithEntryPartitioned takes a data centre out of service while
// an entry and the gate in that data centre are partitioned from control. By the
// endpoints' own count, no new work arrives there from 3 s on, and running work is
// not interrupted.
func TestDataCentreOutWithEntryPartitioned(t *testing.T) {
	f := startFleet(t, true, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	running := f.startStreams(4, 1200)
	background := f.startLoad(4, 10)
	f.partitionFromControl("entry1")
	f.partitionFromControl("agent-engine1")
	f.must(f.TakeOutOfService(t.Context(), "dc1"))
	sleep(outTakesEffect)
	before, err := f.Arrivals(t.Context(), "dc1")
	f.must(err)
	sleep(observationTime)
	after, err := f.Arrivals(t.Context(), "dc1")
	f.must(err)
	background.stop()
	if after != before {
		t.Errorf("dc1 got %d attempts while out of service", after-before)
	}
	f.requireCorrect(running)
	f.requireLoad(background)
	f.checkInvariants()
}

// requireLoad requires that some answers were correct and that each of the others
// was refused as not run. Correct answers after the deadline (in wrong) are only
// logged.
func (f *fixture) requireLoad(l *load) {
	f.t.Helper()
	f.t.Logf("load: %d correct, %d refused, %d failed, %d wrong", l.correct, l.refused, len(l.failed), len(l.wrong))
	if l.correct == 0 || len(l.failed) > 0 {
		f.t.Errorf("load: %d correct, failed: %.2000s", l.correct, strings.Join(l.failed, "\n"))
	}
}

// TestEndpointColdRestartUnderLoad restarts endpoints under load, with and without
// breaking their connections. A cold endpoint admits fewer attempts; it must never
// get more than it admits.
func TestEndpointColdRestartUnderLoad(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	background := f.startLoad(12, 40)
	for i := range 6 {
		sleep(1500 * time.Millisecond)
		f.must(f.Endpoints[i%2].Restart(t.Context(), i%4 < 2))
	}
	sleep(2 * time.Second)
	background.stop()
	t.Logf("load: %d correct, %d refused, %d failed", background.correct, background.refused, len(background.failed))
	if background.correct == 0 || len(background.wrong) > 0 {
		t.Errorf("%d correct, wrong: %s", background.correct, strings.Join(background.wrong, "\n"))
	}
	f.checkInvariants()
}

// TestGracefulShutdownUnderStreams shuts down an entry, an agent and a control
// replica while streams run. Every stream is complete, and each process exits by
// itself.
func TestGracefulShutdownUnderStreams(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	for _, process := range []interface {
		Shutdown(time.Duration) error
		Start() error
	}{f.Entries[0], f.Endpoints[0].Agent, f.Controls[0]} {
		streams := f.startStreams(6, 300)
		if err := process.Shutdown(shutdownTimeout); err != nil {
			t.Error(err)
		}
		f.requireCorrect(streams)
		f.must(process.Start())
		f.must(f.AwaitReady(t.Context()))
	}
	f.checkInvariants()
}

// TestSilentLinksMidStream makes the connections of running streams drop all data
// from then on, while new connections work. Every stream is complete.
func TestSilentLinksMidStream(t *testing.T) {
	f := startFleet(t, true, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	for _, direction := range []faultproxy.Direction{faultproxy.Up, faultproxy.Down, faultproxy.Both} {
		for _, ends := range [][2]string{{"entry1", "agent-engine1"}, {"agent-engine1", "engine1"}} {
			streams := f.startStreams(6, 600)
			proxy, err := f.Links.Between(ends[0], ends[1])
			f.must(err)
			silenced := proxy.BlackholeConnections(direction)
			t.Logf("%d connections from %s to %s drop all data, direction %d", silenced, ends[0], ends[1], direction)
			f.requireCorrect(streams)
		}
	}
	f.checkInvariants()
}

// TestMillionTokensWithinMemory sends prompts of a million tokens and checks the
// peak memory of the entries and the agent.
func TestMillionTokensWithinMemory(t *testing.T) {
	f := startFleet(t, false, engineOptions("engine1", "dc1", "--memory-tokens=2400000", "--prefill-rate=1000000"))
	// A token counts as 4 bytes.
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
		if peak > memoryLimitBytes {
			t.Errorf("peak memory %d MiB", peak>>20)
		}
	}
	f.checkInvariants()
}

// partitionFromControl partitions a process from all control replicas.
func (f *fixture) partitionFromControl(name string) {
	for _, proxy := range f.Links.ProxiesOf(name, func(other string) bool { return strings.HasPrefix(other, "control") }) {
		proxy.Partition()
	}
}
