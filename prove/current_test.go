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
	removedModel = "m2"
	forceTime    = 5 * time.Second // from acceptance until no process acts on what was before
	probePause   = 20 * time.Millisecond
)

// probe is a short completion sent through an entry.
type probe struct {
	entry  int
	model  string
	sent   time.Time
	result caller.Result
}

// probes sends completions of several models through every entry, without a pause
// for refusals, and keeps all answers.
type probes struct {
	end  chan struct{}
	jobs sync.WaitGroup

	mu   sync.Mutex
	sent []probe
}

func (f *fixture) startProbes(models ...string) *probes {
	p := &probes{end: make(chan struct{})}
	for entry := range f.Entries {
		for _, name := range models {
			p.jobs.Go(func() { p.run(f, entry, name) })
		}
	}
	return p
}

func (p *probes) run(f *fixture, entry int, name string) {
	for {
		select {
		case <-p.end:
			return
		case <-time.After(probePause):
		}
		request := caller.Completion(f.Entries[entry].HTTPAddress, key, completions.Request{Model: name, Prompt: "probe", MaxTokens: 2})
		request.Deadline = forceTime
		next := probe{entry: entry, model: name, sent: time.Now()}
		next.result = f.client.Send(f.t.Context(), request)
		p.mu.Lock()
		p.sent = append(p.sent, next)
		p.mu.Unlock()
	}
}

func (p *probes) stop() []probe {
	close(p.end)
	p.jobs.Wait()
	return p.sent
}

// awaitProbed waits until a probe through each entry was served that was sent
// after a moment: service may be back for less than the pause between probes.
func (f *fixture) awaitProbed(p *probes, after time.Time) {
	f.t.Helper()
	for entry := range f.Entries {
		served := func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return slices.ContainsFunc(p.sent, func(s probe) bool { return s.entry == entry && s.result.OK() && s.sent.After(after) })
		}
		for limit := time.Now().Add(serveLimit); !served(); sleep(probePause) {
			if time.Now().After(limit) {
				f.t.Fatalf("entry %d serves other requests but no probe", entry+1)
			}
		}
	}
}

// countServed counts the answers of success to completions sent in a span of time.
func countServed(sent []probe, entry int, name string, from, to time.Time) int {
	served := 0
	for _, s := range sent {
		if s.entry == entry && s.model == name && s.result.OK() && s.sent.After(from) && s.sent.Before(to) {
			served++
		}
	}
	return served
}

// isolate cuts processes off from all others, not from each other or from the
// endpoint beside an agent.
func (f *fixture) isolate(names []string) (heal func()) {
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

// TestChangeInForceEverywhere takes a model from a contract and a data centre
// out of service while processes are cut off, alone and in pairs, and while one
// starts again. From 5 s after acceptance nothing runs under what was before,
// neither during the cut nor after it.
func TestChangeInForceEverywhere(t *testing.T) {
	t.Parallel()
	other := engine("engine3", "dc3")
	other.Flags[0] = "--model=" + removedModel
	f := start(t, true, engine("engine1", "dc1"), engine("engine2", "dc2"), other)
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
			f.changeWhileCutOff(c.cut, c.restart)
		})
	}
	f.checkInvariants()
}

// awaitModels waits until all engines get work again, through both entries.
func (f *fixture) awaitModels() {
	f.t.Helper()
	background := f.startProbes(model, removedModel)
	started := time.Now()
	for _, name := range []string{"dc1", "dc2", "dc3"} {
		f.must(f.AwaitWork(f.t.Context(), name, serveLimit))
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

func (f *fixture) changeWhileCutOff(cut []string, restart string) {
	f.t.Helper()
	background := f.startProbes(model, removedModel)
	heal := f.isolate(cut)
	if restart != "" {
		f.must(f.processNamed(restart).Kill())
	}
	f.settled("data-centre", "out", "dc1", "--operation-id", "out-"+f.t.Name())
	f.must(f.PutContract(f.t.Context(), cluster.AmpleContract("prover", key)))
	accepted := time.Now()
	if restart != "" {
		f.must(f.processNamed(restart).Start())
	}
	sleep(time.Until(accepted.Add(forceTime)))
	before := f.arrivals("dc1", "dc3")
	sleep(watchTime)
	during := f.arrivals("dc1", "dc3")
	heal()
	sleep(watchTime)
	after := f.arrivals("dc1", "dc3")
	sent := background.stop()
	if !slices.Equal(before, during) || !slices.Equal(during, after) {
		f.t.Errorf("arrivals at dc1 and dc3: %v 5 s after the change, %v later, %v after the cut", before, during, after)
	}
	inForce := accepted.Add(forceTime)
	for i := range f.Entries {
		refused := countServed(sent, i, removedModel, inForce, time.Now())
		served := countServed(sent, i, model, inForce, time.Now())
		f.t.Logf("entry %d served %d of %s and %d of %s from 5 s on", i+1, served, model, refused, removedModel)
		if refused > 0 || i == 1 && served == 0 {
			f.t.Errorf("entry %d served %d of the model taken away and %d of the other", i+1, refused, served)
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

// TestLostQuorum kills two of three control replicas under load: soon every
// entry refuses with not_current, and service comes back with the quorum.
func TestLostQuorum(t *testing.T) {
	t.Parallel()
	f := start(t, false, engine("engine1", "dc1"), engine("engine2", "dc2"))
	for round := range 3 {
		background := f.startProbes(model)
		sleep(time.Second)
		f.must(f.Controls[round].Kill())
		f.must(f.Controls[(round+1)%3].Kill())
		lost := time.Now()
		sleep(2 * forceTime)
		f.must(f.Controls[round].Start())
		f.must(f.Controls[(round+1)%3].Start())
		back := time.Now()
		f.awaitServed(0)
		f.awaitServed(1)
		f.must(f.AwaitReady(t.Context()))
		f.awaitProbed(background, back)
		f.reportLostQuorum(background.stop(), lost, back)
	}
	f.checkInvariants()
}

func (f *fixture) reportLostQuorum(sent []probe, lost, back time.Time) {
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
		f.t.Logf("entry %d served for %s after the loss, refused %d times, served again %s after the quorum's return",
			i+1, last.Sub(lost).Round(time.Millisecond), refusals, first.Sub(back).Round(time.Millisecond))
		if refusals == 0 || last.Sub(lost) > forceTime || first.IsZero() {
			f.t.Errorf("entry %d: %d refusals, last served %s after the loss", i+1, refusals, last.Sub(lost))
		}
	}
}
