//go:build prove

package prove

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/cluster"
	"github.com/apricotspoke/apricotspoke/trials/completions"
)

const (
	removedModel  = "m2"
	inForceLimit  = 5 * time.Second // after which no process acts on the configuration before an accepted change
	probeInterval = 20 * time.Millisecond
)

// probe is a short completion sent through an entry.
type probe struct {
	entry  int
	model  string
	sent   time.Time
	result caller.Result
}

// probes sends completions of several models through every entry, also after
// refusals, and keeps all answers.
type probes struct {
	stopped chan struct{}
	workers sync.WaitGroup

	mu   sync.Mutex
	sent []probe
}

func (f *fixture) startProbes(models ...string) *probes {
	p := &probes{stopped: make(chan struct{})}
	for entry := range f.Entries {
		for _, name := range models {
			p.workers.Go(func() { p.run(f, entry, name) })
		}
	}
	return p
}

func (p *probes) run(f *fixture, entry int, name string) {
	for {
		select {
		case <-p.stopped:
			return
		case <-time.After(probeInterval):
		}
		request := caller.Completion(f.Entries[entry].HTTPAddress, key, completions.Request{Model: name, Prompt: "probe", MaxTokens: 2})
		request.Deadline = inForceLimit
		next := probe{entry: entry, model: name, sent: time.Now()}
		next.result = f.client.Send(f.t.Context(), request)
		p.mu.Lock()
		p.sent = append(p.sent, next)
		p.mu.Unlock()
	}
}

func (p *probes) stop() []probe {
	close(p.stopped)
	p.workers.Wait()
	return p.sent
}

// awaitProbed waits until each entry has served a probe sent after a moment. That
// an entry serves other requests is not enough: it may have begun to less than a
// probeInterval ago.
func (f *fixture) awaitProbed(p *probes, after time.Time) {
	f.t.Helper()
	for entry := range f.Entries {
		served := func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return slices.ContainsFunc(p.sent, func(s probe) bool { return s.entry == entry && s.result.OK() && s.sent.After(after) })
		}
		for limit := time.Now().Add(serveTimeout); !served(); sleep(probeInterval) {
			if time.Now().After(limit) {
				f.t.Fatalf("entry %d serves other requests but no probe", entry+1)
			}
		}
	}
}

// countServed counts the completions of a model that were sent through an entry
// between two moments and served.
func countServed(sent []probe, entry int, name string, from, to time.Time) int {
	served := 0
	for _, s := range sent {
		if s.entry == entry && s.model == name && s.result.OK() && s.sent.After(from) && s.sent.Before(to) {
			served++
		}
	}
	return served
}

// partition cuts the links between the named processes and all others. The links
// among them, and from an agent to its endpoint, stay.
func (f *fixture) partition(names []string) (heal func()) {
	inside := func(name string) bool {
		return slices.Contains(names, name) || slices.Contains(names, "agent-"+name)
	}
	var cut []cluster.Link
	for _, l := range f.Links.All() {
		if inside(l.From) != inside(l.To) {
			l.Proxy.Partition()
			cut = append(cut, l)
		}
	}
	return func() {
		for _, l := range cut {
			l.Proxy.Heal()
		}
	}
}

// processNamed returns the process with a name.
func (f *fixture) processNamed(name string) process {
	f.t.Helper()
	for _, c := range f.Controls {
		if c.Name == name {
			return c
		}
	}
	for _, e := range f.Entries {
		if e.Name == name {
			return e
		}
	}
	return f.endpointNamed(strings.TrimPrefix(name, "agent-")).Agent
}

// TestChangeInForceEverywhere removes a model from a contract and takes a data
// centre out of service. In each case but one, some processes are partitioned; in
// each case but one, a process is killed before the change and started after it,
// and it may be a partitioned one. From 5 s after the change is accepted, nothing
// runs under the former configuration, neither during the partition nor after it.
func TestChangeInForceEverywhere(t *testing.T) {
	t.Parallel()
	other := engineOptions("engine3", "dc3")
	other.Flags[0] = "--model=" + removedModel
	f := startFleet(t, true, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"), other)
	both := cluster.AmpleContract("prover", key)
	both.Models = append(both.Models, removedModel)
	agents := []string{"agent-engine1", "agent-engine3"}
	for _, c := range []struct {
		name    string
		cut     []string
		restart string
	}{
		{"entry", []string{"entry1"}, "agent-engine1"},
		{"agents", agents, "entry1"},
		{"nobody", nil, "control1"},
		{"control", []string{"control1"}, "agent-engine3"},
		{"entry and agents", append([]string{"entry1"}, agents...), ""},
		{"entry and control", []string{"entry1", "control2"}, "entry1"},
		{"agents and control", append([]string{"control3"}, agents...), "agent-engine1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fixture{Cluster: f.Cluster, t: t, client: f.client}
			f.must(f.ReturnToService(t.Context(), "dc1"))
			f.must(f.PutContract(t.Context(), both))
			f.awaitModels()
			f.changeWhilePartitioned(c.cut, c.restart)
		})
	}
	f.checkInvariants()
}

// awaitModels waits until all endpoints get work again and both models are served.
func (f *fixture) awaitModels() {
	f.t.Helper()
	background := f.startProbes(model, removedModel)
	started := time.Now()
	for _, name := range []string{"dc1", "dc2", "dc3"} {
		f.must(f.AwaitWork(f.t.Context(), name, serveTimeout))
	}
	for i := range f.Entries {
		f.awaitServed(i)
	}
	sent := background.stop()
	for _, name := range []string{model, removedModel} {
		if countServed(sent, 0, name, started, time.Now())+countServed(sent, 1, name, started, time.Now()) == 0 {
			f.t.Fatalf("%s is not served before the change", name)
		}
	}
}

// changeWhilePartitioned makes the change with the processes in cut partitioned
// and restart, if set, killed and started again.
func (f *fixture) changeWhilePartitioned(cut []string, restart string) {
	f.t.Helper()
	background := f.startProbes(model, removedModel)
	heal := f.partition(cut)
	if restart != "" {
		f.must(f.processNamed(restart).Kill())
	}
	f.ctlUntilSettled("data-centre", "out", "dc1", "--operation-id", "out-"+f.t.Name())
	f.must(f.PutContract(f.t.Context(), cluster.AmpleContract("prover", key)))
	accepted := time.Now()
	if restart != "" {
		f.must(f.processNamed(restart).Start())
	}
	sleep(time.Until(accepted.Add(inForceLimit)))
	before := f.arrivals("dc1", "dc3")
	sleep(observationTime)
	during := f.arrivals("dc1", "dc3")
	heal()
	sleep(observationTime)
	after := f.arrivals("dc1", "dc3")
	sent := background.stop()
	if !slices.Equal(before, during) || !slices.Equal(during, after) {
		f.t.Errorf("arrivals at dc1 and dc3: %v 5 s after the change, %v later, %v after the partition", before, during, after)
	}
	inForce := accepted.Add(inForceLimit)
	for i := range f.Entries {
		servedRemoved := countServed(sent, i, removedModel, inForce, time.Now())
		served := countServed(sent, i, model, inForce, time.Now())
		f.t.Logf("entry %d served %d of %s and %d of %s from 5 s on", i+1, served, model, servedRemoved, removedModel)
		if servedRemoved > 0 || i == 1 && served == 0 {
			f.t.Errorf("entry %d served %d of the removed model and %d of the other", i+1, servedRemoved, served)
		}
	}
}

func (f *fixture) arrivals(dataCentres ...string) []uint64 {
	f.t.Helper()
	var all []uint64
	for _, name := range dataCentres {
		count, err := f.Arrivals(f.t.Context(), name)
		f.must(err)
		all = append(all, count)
	}
	return all
}

// TestLostQuorum kills two of three control replicas under load. Within 5 s every
// entry refuses requests with not_current, and it serves again once the quorum is
// back.
func TestLostQuorum(t *testing.T) {
	t.Parallel()
	f := startFleet(t, false, engineOptions("engine1", "dc1"), engineOptions("engine2", "dc2"))
	for round := range 3 {
		background := f.startProbes(model)
		sleep(time.Second)
		f.must(f.Controls[round].Kill())
		f.must(f.Controls[(round+1)%3].Kill())
		lost := time.Now()
		sleep(2 * inForceLimit)
		f.must(f.Controls[round].Start())
		f.must(f.Controls[(round+1)%3].Start())
		back := time.Now()
		f.awaitServed(0)
		f.awaitServed(1)
		f.must(f.AwaitReady(t.Context()))
		f.awaitProbed(background, back)
		f.checkLostQuorum(background.stop(), lost, back)
	}
	f.checkInvariants()
}

// checkLostQuorum checks the probes sent while the quorum was lost and after it.
func (f *fixture) checkLostQuorum(sent []probe, lost, back time.Time) {
	f.t.Helper()
	for i := range f.Entries {
		last, first := lost, time.Time{}
		refusals := 0
		for _, s := range sent {
			switch {
			case s.entry != i || s.sent.Before(lost):
			case s.result.OK() && s.sent.Before(back):
				last = s.sent
			case s.result.OK() && first.IsZero():
				first = s.sent
			case !s.result.OK() && s.sent.Before(back):
				refusals++
				if !s.result.NotRun() || s.result.RetryAfter() == "" || !strings.Contains(string(s.result.Body), "not_current") {
					f.t.Errorf("entry %d %s after the loss: %s", i+1, s.sent.Sub(lost), describe(s.result))
				}
			}
		}
		f.t.Logf("entry %d served for %s after the loss, refused %d times, served again %s after the quorum was back",
			i+1, last.Sub(lost).Round(time.Millisecond), refusals, first.Sub(back).Round(time.Millisecond))
		if refusals == 0 || last.Sub(lost) > inForceLimit || first.IsZero() {
			f.t.Errorf("entry %d: %d refusals, last served %s after the loss", i+1, refusals, last.Sub(lost))
		}
	}
}
