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

// A prompt longer than each endpoint's memory is cut into segments that make it
// up again; whatever goes wrong, every reservation is released.
func TestLongPromptOverAGroup(t *testing.T) {
	prefilled := plan{chunks: []string{`{"block":"b0"}`}, status: 200}
	served := plan{chunks: []string{`{"whole":1}`}, status: 200}
	by := func(prefill, last plan) func(int, *wire.AttemptOpen) plan {
		return func(_ int, open *wire.AttemptOpen) plan {
			if open.Path == "/kv/prefill" {
				return prefill
			}
			return last
		}
	}
	fails := func(_ int, open *wire.AttemptOpen) plan {
		if open.GateInstance == "a" {
			return plan{status: 502, fail: failure(fault.EndpointFailed)}
		}
		return by(prefilled, served)(0, open)
	}
	cases := map[string]struct {
		gates  int
		full   bool // the last gate
		doing  func(int, *wire.AttemptOpen) plan
		within string // X-Deadline-Ms
		status int
		notRun bool
	}{
		"served":               {gates: 2, doing: by(prefilled, served), status: 200},
		"one of three is full": {gates: 3, full: true, doing: by(prefilled, served), status: 200},
		"one of two is full":   {gates: 2, full: true, doing: by(prefilled, served), status: 503, notRun: true},
		"one of three fails":   {gates: 3, doing: fails, status: 200},
		"one of two fails":     {gates: 2, doing: fails, status: 502},
		"segment refused":      {gates: 2, doing: by(plan{refuse: failure(fault.Overloaded)}, served), status: 503, notRun: true},
		"last one refuses":     {gates: 2, doing: by(prefilled, plan{refuse: failure(fault.Overloaded)}), status: 502},
		"no block":             {gates: 2, doing: by(plan{chunks: []string{`{}`}, status: 200}, served), status: 502},
		"deadline passes":      {gates: 2, doing: by(plan{hang: true}, served), within: "500", status: 504},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, c.gates, c.doing)
			b.gates[c.gates-1].full = c.full
			text := strings.Repeat("0123456789abcde\n", 475)
			body := fmt.Sprintf(`{"model":"m1","prompt":%q}`, text)
			got := b.do("POST", "/v1/completions", body, "X-Deadline-Ms", cmp.Or(c.within, "6000"))
			if got.status != c.status || (got.header.Get("X-Not-Run") == "true") != c.notRun || c.notRun && got.header.Get("Retry-After") == "" {
				t.Errorf("answer %d %v %s", got.status, got.header, got.body)
			}
			b.await("release", func() bool { return b.held() == 0 })
			b.slotsFree()
			if c.status == 200 {
				b.checkSegments(text, body)
			}
		})
	}
}

func (b *bed) held() (count int) {
	for _, g := range b.gates {
		g.mu.Lock()
		count += len(g.held)
		g.mu.Unlock()
	}
	return count
}

// checkSegments requires that the last member got the whole body and, to be read
// from their places, the blocks of segments that begin its prompt.
func (b *bed) checkSegments(text, body string) {
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
				b.t.Errorf("the last attempt has %d bytes and imports %v", len(a.body), a.open.KvImports)
			}
		}
	}
}

// A caller that leaves while a segment is computed leaves nothing reserved.
func TestGroupIsFreedWhenTheCallerLeaves(t *testing.T) {
	b := newBed(t, 2, always(plan{hang: true}))
	ctx, leave := context.WithCancel(t.Context())
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
	b.await("segment", func() bool { return b.runs() == 1 && b.held() == 2 })
	leave()
	b.await("release", func() bool { return b.held() == 0 })
	b.slotsFree()
}
