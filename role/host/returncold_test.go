package host

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// order gives an operator's order until it is acknowledged.
func (p *fakePlatform) order(method, path string) {
	p.t.Helper()
	p.await(method+" "+path+" is acknowledged", func() bool {
		status, _ := p.operatorCall(1, method, path, nil)
		return status == http.StatusOK
	})
}

// startFleetWithReturn is startFleet with six entries, whose second endpoint is alone in its
// data centre, which has been taken out of service and put back. The endpoint says nothing
// since before the return, until announce is called.
func startFleetWithReturn(t *testing.T, hosts ...int) (p *fakePlatform, returned *fakeEndpoint, announce func()) {
	t.Helper()
	t.Parallel()
	p = newFakePlatform(t)
	for n := 1; n <= 3; n++ {
		p.start("control", n, true, true)
	}
	first, second := newFakeEndpoint(t, 1), newFakeEndpoint(t, 2)
	second.dataCentre.Store("z9")
	for _, e := range []*fakeEndpoint{first, second} {
		e.slots.Store(60)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go first.announce(ctx, p)
	speaking, silence := context.WithCancel(ctx)
	t.Cleanup(silence)
	ended := make(chan struct{})
	go func() { second.announce(speaking, p); close(ended) }()
	p.putConfiguration(2, configuration(5, `"key"`))
	startEntries(p, hosts...)
	p.order("POST", "/drain/z9")
	silence()
	<-ended
	p.order("DELETE", "/drain/z9")
	return p, second, func() { go second.announce(ctx, p) }
}

// press has many callers at each host for a time and returns the largest number of requests
// that an endpoint got in a second of it.
func press(p *fakePlatform, e *fakeEndpoint, name string, lasting time.Duration, hosts ...int) int {
	p.t.Helper()
	from := time.Now()
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { callAll(p, "/once/x", fmt.Sprint(name, i), lasting, hosts...) })
	}
	callers.Wait()
	return mostInWindow(e.arrivalsSince(from), time.Second)
}

// logBeliefs logs what the processes have believed of an endpoint, and what permits were asked
// for it.
func (p *fakePlatform) logBeliefs(e *fakeEndpoint, hosts ...int) {
	names := []string{"control1", "control2", "control3"}
	for _, n := range hosts {
		names = append(names, fmt.Sprint("entry", n))
	}
	for _, name := range names {
		permits := 0
		for line := range strings.Lines(p.log(name)) {
			switch {
			case strings.Contains(line, "A permit was asked for."):
				permits++
			case strings.Contains(line, "A newer state is applied."), strings.Contains(line, `"endpoint":"`+e.id+`"`) && strings.Contains(line, "heard_index"):
				p.t.Log(name, strings.TrimSpace(line))
			}
		}
		p.t.Log(name, "asked for permits:", permits)
	}
}

// The users' rule for a cold endpoint, for any second.
const mostColdPerSecond = 4*1.5 + 5

// Guards against a flood of an endpoint that has become cold unnoticed while its data centre
// was out of service (FAILBACK).
func TestEndpointOfAReturnedDataCentreIsTakenAsColdUntilItIsHeard(t *testing.T) {
	hosts := []int{1, 4, 5, 6, 7, 8}
	p, returned, announce := startFleetWithReturn(t, hosts...)
	if most := press(p, returned, "unheard", 2*time.Second, hosts...); most > mostColdPerSecond {
		t.Errorf("an endpoint that may be cold got %d requests in a second, allowed are %v", most, mostColdPerSecond)
		p.logBeliefs(returned, hosts...)
	}
	announce()
	for _, n := range hosts {
		p.await("the entry has heard from the endpoint", func() bool {
			log := p.log(fmt.Sprint("entry", n))
			at := strings.LastIndex(log, `"heard_since_return":false`)
			return strings.Contains(log[at+1:], `"heard_since_return":true`)
		})
	}
	if most := press(p, returned, "heard", time.Second, hosts...); most <= mostColdPerSecond {
		t.Errorf("an endpoint that has said that it is warm got %d requests in a second, want more than %v", most, mostColdPerSecond)
	}
}

// Guards against entries that have started since a return and take what they learn from
// others for news (FAILBACK).
func TestEntriesStartedSinceAReturnTakeItsEndpointsAsCold(t *testing.T) {
	hosts := []int{1, 4, 5, 6, 7, 8}
	p, returned, _ := startFleetWithReturn(t, hosts...)
	restarted := hosts[3:]
	for _, n := range restarted {
		p.stop(fmt.Sprint("entry", n), syscall.SIGKILL)
	}
	startEntries(p, restarted...)
	if most := press(p, returned, "restarted", 2*time.Second, hosts...); most > mostColdPerSecond {
		t.Errorf("an endpoint that may be cold got %d requests in a second, allowed are %v", most, mostColdPerSecond)
		p.logBeliefs(returned, hosts...)
	}
}
