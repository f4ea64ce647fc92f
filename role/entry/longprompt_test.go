package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// A prompt that exceeds each endpoint's memory is split into segments, which together
// are the prompt. Every reservation is released, also after failures.
func TestLongPromptIsSplitOverEndpoints(t *testing.T) {
	prefilled := plan{chunks: []string{`{"block":"b0"}`}, status: 200}
	served := plan{chunks: []string{`{"whole":1}`}, status: 200}
	planByPath := func(prefill, mainAttempt plan) func(int, *wire.AttemptOpen) plan {
		return func(_ int, open *wire.AttemptOpen) plan {
			if open.Path == "/kv/prefill" {
				return prefill
			}
			return mainAttempt
		}
	}
	gateAFails := func(_ int, open *wire.AttemptOpen) plan {
		if open.GateInstance == "a" {
			return plan{status: 502, fail: failure(fault.EndpointFailed)}
		}
		return planByPath(prefilled, served)(0, open)
	}
	cases := map[string]struct {
		gates      int
		full       bool // the last gate
		planFor    func(int, *wire.AttemptOpen) plan
		deadlineMs string // X-Deadline-Ms
		status     int
		notRun     bool
	}{
		"served":                {gates: 2, planFor: planByPath(prefilled, served), status: 200},
		"one of three is full":  {gates: 3, full: true, planFor: planByPath(prefilled, served), status: 200},
		"one of two is full":    {gates: 2, full: true, planFor: planByPath(prefilled, served), status: 503, notRun: true},
		"one of three fails":    {gates: 3, planFor: gateAFails, status: 200},
		"one of two fails":      {gates: 2, planFor: gateAFails, status: 502},
		"segment refused":       {gates: 2, planFor: planByPath(plan{refuse: failure(fault.Overloaded)}, served), status: 503, notRun: true},
		"main endpoint refuses": {gates: 2, planFor: planByPath(prefilled, plan{refuse: failure(fault.Overloaded)}), status: 502},
		"no block":              {gates: 2, planFor: planByPath(plan{chunks: []string{`{}`}, status: 200}, served), status: 502},
		"deadline passes":       {gates: 2, planFor: planByPath(plan{hang: true}, served), deadlineMs: "500", status: 504},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, c.gates, c.planFor)
			b.gates[c.gates-1].full = c.full
			text := strings.Repeat("0123456789abcde\n", 475)
			body := fmt.Sprintf(`{"model":"m1","prompt":%q}`, text)
			got := b.do("POST", "/v1/completions", body, "X-Deadline-Ms", cmp.Or(c.deadlineMs, "6000"))
			if got.status != c.status || (got.header.Get("X-Not-Run") == "true") != c.notRun || c.notRun && got.header.Get("Retry-After") == "" {
				t.Errorf("answer %d %v %s", got.status, got.header, got.body)
			}
			b.await("release", func() bool { return b.reservations() == 0 })
			b.awaitSlotsFree()
			if c.status == 200 {
				b.checkSegments(text, body)
			}
		})
	}
}

func (b *testbed) reservations() (count int) {
	for _, g := range b.gates {
		g.mu.Lock()
		count += len(g.reservations)
		g.mu.Unlock()
	}
	return count
}

// checkSegments checks that the main endpoint got the whole body and the addresses of
// the helpers' KV blocks, and that each segment is a prefix of the prompt.
func (b *testbed) checkSegments(text, body string) {
	b.t.Helper()
	for _, g := range b.gates {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, a := range g.attempts {
			if a.open.Path == "/kv/prefill" {
				var call struct{ Text string }
				if json.Unmarshal(a.body, &call) != nil || !strings.HasPrefix(text, call.Text) || uint64(len(call.Text)) != 4*a.open.PromptTokens {
					b.t.Errorf("a segment of %d bytes, %d tokens", len(call.Text), a.open.PromptTokens)
				}
				continue
			}
			if string(a.body) != body || len(a.open.KvImports) != 1 || !strings.HasPrefix(a.open.KvImports[0], "http://endpoint-of-") {
				b.t.Errorf("the main endpoint's attempt has %d bytes and imports %v", len(a.body), a.open.KvImports)
			}
		}
	}
}

// When the caller disconnects during the prefill of a segment, all reservations are
// released.
func TestReservationsAreReleasedWhenTheCallerDisconnects(t *testing.T) {
	b := newTestbed(t, 2, always(plan{hang: true}))
	ctx, disconnect := context.WithCancel(t.Context())
	body := fmt.Sprintf(`{"model":"m1","prompt":%q}`, strings.Repeat("0123456789abcde\n", 475))
	request, err := http.NewRequestWithContext(ctx, "POST", b.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	b.await("segment", func() bool { return b.runs() == 1 && b.reservations() == 2 })
	disconnect()
	b.await("release", func() bool { return b.reservations() == 0 })
	b.awaitSlotsFree()
}
