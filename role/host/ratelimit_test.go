package host

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The rule of the users: from rateLimitGrace after an endpoint first stated a limit, it
// gets in any rateLimitWindow at most rateLimitFactor times what that allows, and
// rateLimitSlack requests.
const (
	rateLimitGrace  = 3 * time.Second
	rateLimitWindow = 4 * time.Second
	rateLimitFactor = 1.5
	rateLimitSlack  = 5
)

// callerPause is the pause of a caller between two requests.
const callerPause = 50 * time.Millisecond

// startEntries starts more entries and waits until they serve.
func startEntries(p *fakePlatform, hosts ...int) {
	p.t.Helper()
	for _, n := range hosts {
		p.start("entry", n, false, true)
	}
	p.awaitReady(hosts...)
}

// callAll has one caller at each host send requests one after the other for a time. It
// returns the number of answers by status.
func callAll(p *fakePlatform, path, name string, lasting time.Duration, hosts ...int) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	end := time.Now().Add(lasting)
	var callers sync.WaitGroup
	for _, n := range hosts {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				status, _, _ := p.request(n, path, "key", fmt.Sprintf("%s-%d-%d", name, n, i))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(callerPause)
			}
		})
	}
	callers.Wait()
	return statuses
}

// checkRateLimit checks the rule for the arrivals at an endpoint.
func checkRateLimit(t *testing.T, e *fakeEndpoint, perSecond float64) {
	t.Helper()
	allowed := int(rateLimitFactor*perSecond*rateLimitWindow.Seconds()) + rateLimitSlack
	if most := mostInWindow(e.arrivalsSince(e.firstStatedAt().Add(rateLimitGrace)), rateLimitWindow); most > allowed {
		t.Errorf("the endpoint got %d requests in %v, allowed are %d", most, rateLimitWindow, allowed)
	}
}

// mostInWindow returns the largest number of times within one window.
func mostInWindow(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// An endpoint's rate limit must hold for all entries together, and the surplus must be
// served elsewhere.
func TestStatedRateLimitHoldsForAllEntriesTogether(t *testing.T) {
	p, first, _ := startFleet(t)
	hosts := []int{1, 4, 5, 6, 7, 8}
	startEntries(p, hosts[2:]...)
	first.rateLimit.Store("2")
	statuses := callAll(p, "/once/x", "limited", rateLimitGrace+2*rateLimitWindow, hosts...)
	checkRateLimit(t, first, 2)
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("answers by status: %v, want only 200", statuses)
	}
}

// When all endpoints have a limit, callers must be refused at once with a time, the limits
// must hold while entries freeze and restart, and their end must be noticed.
func TestStatedRateLimitsHoldWhileEntriesFreezeAndRestart(t *testing.T) {
	p, first, second := startFleet(t)
	sound, faulty := []int{1, 4, 5}, []int{6, 7, 8}
	startEntries(p, 5, 6, 7, 8)
	first.rateLimit.Store("3")
	second.rateLimit.Store("1.5")
	const lasting = rateLimitGrace + 3*rateLimitWindow
	var background sync.WaitGroup
	background.Go(func() { callAll(p, "/once/x", "faulty", lasting, faulty...) })
	background.Go(func() {
		time.Sleep(rateLimitGrace)
		for _, name := range []string{"entry6", "entry7"} {
			if err := p.running[name].Signal(syscall.SIGSTOP); err != nil {
				t.Error(err)
			}
		}
		p.stop("entry8", syscall.SIGKILL)
		time.Sleep(2 * time.Second)
		for _, name := range []string{"entry6", "entry7"} {
			if err := p.running[name].Signal(syscall.SIGCONT); err != nil {
				t.Error(err)
			}
		}
		p.start("entry", 8, false, true)
	})
	statuses := callAll(p, "/once/x", "sound", lasting, sound...)
	background.Wait()
	checkRateLimit(t, first, 3)
	checkRateLimit(t, second, 1.5)
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 || len(statuses) != 2 {
		t.Errorf("answers by status: %v, want 200 and 503", statuses)
	}
	first.rateLimit.Store("")
	ended := time.Now()
	p.await("the end of a limit is noticed by all entries", func() bool {
		return callAll(p, "/once/x", fmt.Sprint("ended-", time.Now().UnixNano()), time.Second/2, sound...)[http.StatusServiceUnavailable] == 0
	})
	if n := len(first.arrivalsSince(ended)); n < 10 {
		t.Errorf("the endpoint got %d requests after its limit had ended", n)
	}
}

// One answer that doesn't state the limit any more must not release the callers of all
// entries at once.
func TestEndOfARateLimitReleasesNoBurst(t *testing.T) {
	p, first, second := startFleet(t)
	hosts := []int{1, 4, 5, 6, 7, 8}
	for _, e := range []*fakeEndpoint{first, second} {
		e.slots.Store(60)
		e.answerDelay.Store(int64(time.Second / 2))
	}
	startEntries(p, hosts[2:]...)
	first.rateLimit.Store("1")
	lasting := rateLimitGrace + 2*rateLimitWindow
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() { callAll(p, "/once/x", fmt.Sprint("ended", i), lasting, hosts...) })
	}
	time.Sleep(rateLimitGrace + time.Second)
	first.unstated.Store(1)
	callers.Wait()
	checkRateLimit(t, first, 1)
}

// A refusal for a rate limit must say when to come back, and not be held.
func TestRefusalForARateLimitHasATime(t *testing.T) {
	p, first, second := startFleet(t)
	first.rateLimit.Store("0.5")
	second.rateLimit.Store("0.5")
	var header http.Header
	p.await("a request is refused", func() bool {
		id := fmt.Sprint("refused-", time.Now().UnixNano())
		status, _, h := p.request(1, "/once/x", "key", id)
		header = h
		return status == http.StatusServiceUnavailable
	})
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 2 {
		t.Errorf("Retry-After %q: %v, want up to 2 s", header.Get("Retry-After"), err)
	}
}

// The rate that a cold endpoint bears must hold for all entries together, also when many
// requests wait for it at the same moment.
func TestColdRateHoldsForAllEntriesTogether(t *testing.T) {
	p, first, second := startFleet(t)
	hosts := []int{1, 4, 5, 6, 7, 8}
	startEntries(p, hosts[2:]...)
	for _, e := range []*fakeEndpoint{first, second} {
		e.coldMs.Store(time.Minute.Milliseconds())
	}
	for _, n := range hosts {
		p.await("the entry knows that both endpoints are cold", func() bool {
			return strings.Count(p.log(fmt.Sprint("entry", n)), `"cold_ms":60000`) >= 2
		})
	}
	from := time.Now()
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { callAll(p, "/once/x", fmt.Sprint("cold", i), 2*time.Second, hosts...) })
	}
	callers.Wait()
	const perSecond, factor, slack = 4, 1.5, 5 // the users' rule, for any second
	for _, e := range []*fakeEndpoint{first, second} {
		if most := mostInWindow(e.arrivalsSince(from), time.Second); most > perSecond*factor+slack {
			t.Errorf("a cold endpoint got %d requests in a second, allowed are %v", most, perSecond*factor+slack)
		}
	}
}
