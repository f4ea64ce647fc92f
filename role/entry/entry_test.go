package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	streamBody = `{"model":"m1","stream":true,"prompt":"hello"}`
	unaryBody  = `{"model":"m1","prompt":"hello"}`
)

var eventChunks = []string{"id: 1\ndata: {\"a\":1}\n\n", "id: 2\ndata: {\"b\":2}\n\n", "id: 3\ndata: [DONE]\n\n"}

const relayedStream = "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {\"b\":2}\n\nid: 3\ndata: [DONE]\n\n"

func always(p plan) func(int, *wire.AttemptOpen) plan {
	return func(int, *wire.AttemptOpen) plan { return p }
}

func failure(kind fault.Kind) *wire.Failure { return fault.ToWire(fault.New(kind, "test")) }

// A stream reaches the caller complete and in order, although chunks are reordered,
// repeated or lost or the link breaks. Its attempt is sent once.
func TestStreamIsCompleteDespiteLinkFaults(t *testing.T) {
	reverse := func(d []*wire.AttemptDown) []*wire.AttemptDown {
		return []*wire.AttemptDown{d[2], d[0], d[0], d[3], d[1], d[1]}
	}
	drop := func(d []*wire.AttemptDown) []*wire.AttemptDown { return []*wire.AttemptDown{d[0], d[2], d[3]} }
	plans := map[string]plan{
		"in order":          {chunks: eventChunks, status: 200},
		"reordered":         {chunks: eventChunks, status: 200, mangle: reverse},
		"chunk lost":        {chunks: eventChunks, status: 200, mangle: drop},
		"link broken":       {chunks: eventChunks, status: 200, breakAfter: 1},
		"broken before End": {chunks: eventChunks, status: 200, breakAfter: 3},
	}
	for name, p := range plans {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1, always(p))
			got := b.do("POST", "/v1/completions", streamBody)
			if got.status != 200 || got.body != relayedStream {
				t.Errorf("answer %d %q", got.status, got.body)
			}
			if attempts, _, _ := b.gates[0].counts(); attempts != 1 {
				t.Errorf("%d attempts", attempts)
			}
			resumed := b.do("GET", "/v1/resume/"+got.header.Get("X-Resume-Token")+"?from=2", "")
			if resumed.body != relayedStream[strings.Index(relayedStream, "id: 2"):] {
				t.Errorf("resumed %q", resumed.body)
			}
			other := b.do("GET", "/v1/resume/"+got.header.Get("X-Resume-Token"), "", "Authorization", "Bearer key-b")
			if other.status != 403 {
				t.Errorf("another organisation resumes with status %d", other.status)
			}
			b.awaitSlotsFree()
		})
	}
}

// However an attempt fails, the answer has the right status, says whether the request
// may have run, and never passes for a complete one.
func TestFailuresAreReportedTruthfully(t *testing.T) {
	refusal := plan{refuse: failure(fault.Overloaded)}
	good := plan{chunks: []string{"whole"}, status: 200}
	failed := plan{chunks: []string{"x"}, status: 200, fail: failure(fault.EndpointFailed)}
	denies := plan{status: 200, fail: failure(fault.Overloaded)} // it may have run nevertheless
	truncated := plan{chunks: []string{"half", "rest"}, status: 200, mangle: func(d []*wire.AttemptDown) []*wire.AttemptDown {
		d[2].Sequence = 2 // the end replaces the second chunk
		return []*wire.AttemptDown{d[0], d[2]}
	}}
	cases := map[string]struct {
		first, later   plan
		body           string
		status         int
		notRun         bool
		contains       string
		attemptsAtMost int
	}{
		"refused once":       {refusal, good, unaryBody, 200, false, "whole", 2},
		"refused everywhere": {refusal, refusal, unaryBody, 503, true, "overloaded", 2},
		"failed once":        {failed, good, unaryBody, 200, false, "whole", 2},
		"failed, refused":    {failed, refusal, unaryBody, 502, false, "endpoint_failed", 2},
		"denied after start": {denies, denies, unaryBody, 502, false, "endpoint_failed", 2},
		"failed mid-stream": {plan{chunks: eventChunks[:1], status: 200, fail: failure(fault.EndpointFailed)}, good, streamBody, 200, false,
			"event: error\ndata: {\"error\"", 1},
		"endpoint's refusal of a stream":   {plan{chunks: []string{`{"error":1}`}, status: 400}, good, streamBody, 400, false, `{"error":1}`, 1},
		"fewer chunks than the end states": {truncated, truncated, unaryBody, 502, false, "endpoint_failed", 2},
		"gate crashes at once":             {plan{crash: true}, good, unaryBody, 200, false, "whole", 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			count := 0
			b := newTestbed(t, 2, nil)
			for _, g := range b.gates {
				g.plan = func(int, *wire.AttemptOpen) plan {
					count++
					if count == 1 {
						return c.first
					}
					return c.later
				}
			}
			got := b.do("POST", "/v1/completions", c.body)
			if got.status != c.status || !strings.Contains(got.body, c.contains) || (got.header.Get("X-Not-Run") == "true") != c.notRun {
				t.Errorf("answer %d, not run %q: %s", got.status, got.header.Get("X-Not-Run"), got.body)
			}
			if strings.Contains(got.body, "[DONE]") || count > c.attemptsAtMost {
				t.Errorf("%d attempts: %s", count, got.body)
			}
			b.awaitSlotsFree()
		})
	}
}

func TestInvalidRequestsAreRefusedBeforeAnyGate(t *testing.T) {
	b := newTestbed(t, 1, always(plan{chunks: []string{"x"}, status: 200}))
	cases := []struct {
		path, body string
		headers    []string
		status     int
		kind       fault.Kind
	}{
		{"/v1/completions", unaryBody, []string{"Authorization", "Bearer wrong"}, 401, fault.Unauthenticated},
		{"/v1/completions", unaryBody, []string{"Authorization", ""}, 401, fault.Unauthenticated},
		{"/v1/completions", `{"model":`, nil, 400, fault.InvalidRequest},
		{"/v1/completions", `{"model":"m1"}`, nil, 400, fault.InvalidRequest},
		{"/v1/completions", `{"model":"m9","prompt":"x"}`, nil, 404, fault.UnknownModel},
		{"/v1/completions", `{"model":"m1","prompt":"` + strings.Repeat("x", 9000) + `"}`, nil, 400, fault.PromptTooLong},
		{"/v1/chat/completions", `{"model":"m1","messages":[]}`, nil, 400, fault.InvalidRequest},
		{"/v1/completions", strings.Repeat(" ", 16<<20+1), nil, 413, fault.BodyTooLarge},
		{"/v1/completions", unaryBody, []string{"X-Deadline-Ms", "-5"}, 400, fault.InvalidRequest},
		{"/services/other/x", "x", nil, 404, fault.UnknownService},
		{"/v1/other", "x", nil, 404, fault.NotFound},
	}
	for _, c := range cases {
		got := b.do("POST", c.path, c.body, c.headers...)
		if got.status != c.status || !strings.Contains(got.body, `"code":"`+string(c.kind)+`"`) || got.header.Get("X-Not-Run") != "true" {
			t.Errorf("%s %.60s: %d %s", c.path, c.body, got.status, got.body)
		}
	}
	if attempts, _, _ := b.gates[0].counts(); attempts != 0 || b.entry.callerServer.BodyBudget.HeldBytes() != 0 {
		t.Errorf("%d attempts, %d bytes held", attempts, b.entry.callerServer.BodyBudget.HeldBytes())
	}
}

func TestRequestOverQuotaIsRefusedAtOnce(t *testing.T) {
	b := newTestbed(t, 1, always(plan{chunks: []string{"x"}, status: 200}))
	b.control.mu.Lock()
	b.control.denyQuota = true
	b.control.mu.Unlock()
	got := b.do("POST", "/v1/completions", unaryBody)
	if got.status != 429 || got.header.Get("Retry-After") != "3" || got.header.Get("X-Not-Run") != "true" {
		t.Errorf("%d %v", got.status, got.header)
	}
}

// When its deadline passes or its caller disconnects, a request ends, its quota is
// released and it is cancelled at the gate.
func TestEndedRequestReleasesItsResources(t *testing.T) {
	t.Run("deadline", func(t *testing.T) {
		b := newTestbed(t, 1, always(plan{hang: true}))
		for _, body := range []string{unaryBody, streamBody} {
			got := b.do("POST", "/v1/completions", body, "X-Deadline-Ms", "300")
			if got.status != 504 || got.header.Get("X-Not-Run") != "" {
				t.Errorf("answer %d %s", got.status, got.body)
			}
		}
		b.awaitSlotsFree()
		b.await("cancel", func() bool { _, cancels, _ := b.gates[0].counts(); return cancels == 2 })
	})
	t.Run("caller disconnected", func(t *testing.T) {
		b := newTestbed(t, 1, always(plan{hang: true}))
		ctx, cancel := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, "POST", b.url+"/v1/completions", strings.NewReader(unaryBody))
		r.Header.Set("Authorization", "Bearer "+testKey)
		go func() {
			b.await("attempt", func() bool { attempts, _, _ := b.gates[0].counts(); return attempts == 1 })
			cancel()
		}()
		if _, err := http.DefaultClient.Do(r); err == nil {
			t.Error("a cancelled request got an answer")
		}
		b.awaitSlotsFree()
		b.await("cancel", func() bool { _, cancels, _ := b.gates[0].counts(); return cancels == 1 })
	})
}

// At shutdown, new requests are refused and the running one finishes.
func TestDrainLetsRunningRequestsFinish(t *testing.T) {
	release := make(chan struct{})
	b := newTestbed(t, 1, func(int, *wire.AttemptOpen) plan {
		<-release
		return plan{chunks: []string{"whole"}, status: 200}
	})
	running := make(chan answer, 1)
	go func() { running <- b.do("POST", "/v1/completions", unaryBody) }()
	b.await("running request", func() bool { return b.entry.quota.SlotsInUse("a") == 1 })
	kept, err := http.Get(b.url + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, kept.Body)
	b.entry.options.ReadyGrace = time.Second
	b.stop()
	// A request that arrived before the drain would be admitted and block.
	b.await("failing readiness", func() bool { return b.do("GET", "/readyz", "").status == 503 })
	got := b.do("POST", "/v1/completions", unaryBody)
	if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get("X-Not-Run") != "true" {
		t.Errorf("a new request while draining got %d %s", got.status, got.body)
	}
	close(release)
	if got := <-running; got.status != 200 || got.body != "whole" {
		t.Errorf("the running request ended with %d %s", got.status, got.body)
	}
}

// An attempt that its gate never received is retried at the same gate, as there is no
// other.
func TestAttemptLostInTransitIsRetried(t *testing.T) {
	var calls atomic.Int64
	b := newTestbed(t, 1, func(int, *wire.AttemptOpen) plan {
		if calls.Add(1) == 1 {
			return plan{lost: true}
		}
		return plan{chunks: []string{"whole"}, status: 200}
	})
	if got := b.do("POST", "/v1/completions", unaryBody); got.status != 200 || got.body != "whole" {
		t.Errorf("answer %d %s", got.status, got.body)
	}
	if refused := len(b.gates[0].refused); refused != 1 {
		t.Errorf("%d attempts are refused permanently, want only the lost one", refused)
	}
}

// A configuration change that arrives while a body is uploaded applies to the request.
func TestConfigurationChangeDuringUploadApplies(t *testing.T) {
	b := newTestbed(t, 1, always(plan{chunks: []string{"x"}, status: 200}))
	reader, writer := io.Pipe()
	r, _ := http.NewRequest("POST", b.url+"/v1/completions", reader)
	r.Header.Set("Authorization", "Bearer "+testKey)
	go func() {
		_, _ = io.WriteString(writer, unaryBody[:5])
		changed := testConfig()
		changed.Revision++
		changed.DataCentres = []*wire.DataCentre{{Name: "d1", Out: true}}
		b.control.mu.Lock()
		b.control.config = changed
		b.control.mu.Unlock()
		b.await("revision", func() bool { return b.entry.callerServer.Store.Revision() == changed.Revision })
		_, _ = io.WriteString(writer, unaryBody[5:])
		_ = writer.Close()
	}()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if attempts, _, _ := b.gates[0].counts(); response.StatusCode != 503 || attempts != 0 {
		t.Errorf("status %d, %d attempts", response.StatusCode, attempts)
	}
}
