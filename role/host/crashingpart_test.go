package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// The users' rule: of the requests with a part under which crashesToNotice endpoints have
// ended, at most mostSendsAfterwards reach endpoints later than crashGrace after that.
const (
	crashesToNotice     = 5
	crashGrace          = 3 * time.Second
	mostSendsAfterwards = 3
)

const (
	crashingPart    = "bad0"
	answerBeginning = 50 * time.Millisecond // between the header and the first event
	endpointReturn  = time.Second           // from a crash until the endpoint is back
	crashingFleet   = 8                     // endpoints
)

// crashSite runs endpoints that end when they begin to write the answer to a prompt with
// the crashing part, and that are back after a while under another identity.
type crashSite struct {
	t        *testing.T
	platform *fakePlatform

	mu       sync.Mutex
	next     int
	arrivals []time.Time // of requests with the part
	ends     []time.Time // of endpoints
}

// startCrashSite starts three control processes, entries on the given hosts and endpoints,
// and waits until they serve a first configuration.
func startCrashSite(t *testing.T, hosts ...int) *crashSite {
	t.Helper()
	p := newFakePlatform(t)
	for n := 1; n <= 3; n++ {
		p.start("control", n, true, true)
	}
	for _, n := range hosts {
		p.start("entry", n, false, true)
	}
	s := &crashSite{t: t, platform: p}
	for range crashingFleet {
		s.startEndpoint(t.Context())
	}
	p.putConfiguration(2, configuration(5, `"key"`))
	p.awaitReady(hosts...)
	return s
}

// startEndpoint starts an endpoint that runs until it crashes or ctx ends.
func (s *crashSite) startEndpoint(ctx context.Context) {
	s.mu.Lock()
	s.next++
	e := newFakeEndpoint(s.t, s.next)
	s.mu.Unlock()
	announcing, stop := context.WithCancel(ctx)
	var once sync.Once
	e.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !strings.Contains(q.Header.Get("Prefix-Hash"), crashingPart+":") {
			s.begin(w, q, e)
			e.stream(w, q, "good")
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		s.begin(w, q, e)
		once.Do(func() {
			stop()
			_ = e.server.Close() // cuts all connections
			s.mu.Lock()
			s.ends = append(s.ends, time.Now())
			s.mu.Unlock()
			time.AfterFunc(endpointReturn, func() {
				if ctx.Err() == nil {
					s.startEndpoint(ctx)
				}
			})
		})
	})
	go e.announce(announcing, s.platform)
}

// begin sends the header of an answer and waits until the first event is due.
func (s *crashSite) begin(w http.ResponseWriter, q *http.Request, e *fakeEndpoint) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	w.Header().Set("Replica-Signature", "signature-of-"+e.id)
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	time.Sleep(answerBeginning)
}

// callWithParts sends a request for a stream whose prompt has the given parts, and reports
// whether it got the whole answer.
func (p *fakePlatform) callWithParts(n int, id, parts string) (whole bool) {
	status, text, _ := p.sendWithParts(n, id, parts)
	return status == http.StatusOK && strings.Count(text, "id: ") == 10
}

// isQuarantined reports whether an entry refuses a request for the crashing part, as one
// that has not run, with a time, and names the part.
func (p *fakePlatform) isQuarantined(n int, id, parts string) bool {
	status, text, header := p.sendWithParts(n, id, parts)
	return status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" &&
		strings.Contains(text, string(fault.PromptQuarantined)) && strings.Contains(text, crashingPart)
}

func (p *fakePlatform) sendWithParts(n int, id, parts string) (status int, text string, header http.Header) {
	return call("POST", fmt.Sprintf("http://%s/stream/x", net.JoinHostPort(p.host(n), fmt.Sprint(p.ports[0]))), []byte("body of "+id), map[string]string{
		"Attempt-Id": id, "X-Api-Key": "key", "Deadline-Ms": "3000", "Token-Usage": "100,10", "Prefix-Hash": parts,
	})
}

// Requests of many entries whose prompts share a part that crashes each endpoint must stop
// being sent; sound ones that share all but that part must be served.
func TestPartThatCrashesEndpointsIsNoLongerSent(t *testing.T) {
	t.Parallel()
	hosts := []int{1, 4, 5, 6}
	site := startCrashSite(t, hosts...)
	p := site.platform
	var mu sync.Mutex
	sound, served := 0, 0
	began := time.Now()
	const lasting = 10 * time.Second
	var callers sync.WaitGroup
	for _, n := range hosts {
		callers.Go(func() {
			for i := 0; time.Since(began) < lasting; i++ {
				p.callWithParts(n, fmt.Sprintf("bad-%d-%d", n, i), fmt.Sprintf("f0:40,%s:100,b%d%d:1", crashingPart, n, i))
				time.Sleep(callerPause)
			}
		})
		callers.Go(func() {
			for i := 0; time.Since(began) < lasting; i++ {
				whole := p.callWithParts(n, fmt.Sprintf("good-%d-%d", n, i), fmt.Sprintf("f0:40,g%d:100,s%d%d:1", i%4, n, i))
				if time.Since(began) > 2*crashGrace {
					mu.Lock()
					sound++
					if whole {
						served++
					}
					mu.Unlock()
				}
				time.Sleep(callerPause)
			}
		})
	}
	callers.Wait()
	site.check(sound, served)
	site.checkRestart(hosts)
}

// checkRestart checks that no endpoint ends after all entries were restarted at once, until
// the quarantine is lifted by hand.
func (s *crashSite) checkRestart(hosts []int) {
	s.t.Helper()
	before := s.endCount()
	for _, n := range hosts {
		s.platform.stop(fmt.Sprintf("entry%d", n), syscall.SIGKILL)
	}
	for _, n := range hosts {
		s.platform.start("entry", n, false, false)
	}
	s.platform.awaitReady(hosts...)
	for _, n := range hosts {
		if !s.platform.isQuarantined(n, fmt.Sprintf("again-%d", n), fmt.Sprintf("f1:40,%s:100,c%d:1", crashingPart, n)) {
			s.t.Errorf("restarted entry %d does not refuse a quarantined part by its name", n)
		}
	}
	if ended := s.endCount() - before; ended != 0 {
		s.t.Errorf("%d endpoints ended after a restart of all entries", ended)
	}
	s.platform.await("the lift is known", func() bool {
		if out, err := s.platform.ctl("quarantine", "lift", fmt.Sprint(quarantine.Key("s", crashingPart))); err != nil {
			s.t.Logf("%v: %s", err, out)
			return false
		}
		return !s.platform.isQuarantined(hosts[0], "lifted", fmt.Sprintf("f1:40,%s:100,c:1", crashingPart))
	})
	if s.endCount() == before {
		s.t.Error("no request with the part was sent after the quarantine had been lifted")
	}
}

func (s *crashSite) endCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ends)
}

// ctl runs the operators' command line against the control processes.
func (p *fakePlatform) ctl(arguments ...string) (string, error) {
	for n := 1; n <= 3; n++ {
		arguments = append(arguments, "--control", net.JoinHostPort(p.host(n), fmt.Sprint(p.ports[3])))
	}
	out, err := exec.Command("go", append([]string{"run", "github.com/apricotspoke/apricotspoke/cmd/apricotspokectl"}, arguments...)...).CombinedOutput()
	return string(out), err
}

// check checks the rule, and that sound requests were served.
func (s *crashSite) check(sound, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := 0
	if len(s.ends) >= crashesToNotice {
		limit := s.ends[crashesToNotice-1].Add(crashGrace)
		for _, at := range s.arrivals {
			if at.After(limit) {
				late++
			}
		}
	}
	s.t.Logf("%d endpoints ended, %d requests with the part arrived, %d of them late; %d of %d sound requests served", len(s.ends), len(s.arrivals), late, served, sound)
	if len(s.ends) == 0 {
		s.t.Error("no endpoint ended, so the test shows nothing")
	}
	if late > mostSendsAfterwards {
		s.t.Errorf("%d requests with the part reached endpoints later than %v after %d had ended, allowed are %d", late, crashGrace, crashesToNotice, mostSendsAfterwards)
	}
	if sound < 20 || served < sound/2 {
		s.t.Errorf("%d of %d sound requests were served", served, sound)
	}
}
