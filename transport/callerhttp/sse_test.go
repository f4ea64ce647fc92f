package callerhttp

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

func newTestSink() (*streamSink, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	return &streamSink{w: w, flush: func() error { return nil }, resumeTokens: NewResumeTokens("s"), memory: NewBodyBudget().newReservation()}, w
}

// Each event is sent whole and once, however the answer is split into chunks. The final
// event is not sent before the end of the answer is known.
func TestEventsAreRelayedWholeForAnyChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "events")
		var in, want strings.Builder
		for i := range count {
			data := rapid.StringMatching(`[a-z{}":]{0,20}`).Draw(t, "data")
			fmt.Fprintf(&in, "id: %d\ndata: %s\n\n", i+1, data)
			fmt.Fprintf(&want, "data: %s\n\n", data)
		}
		in.WriteString("data: [DONE]\n\n")
		text := in.String()
		sink, w := newTestSink()
		for sequence := uint64(1); text != ""; sequence++ {
			least := 1
			if sequence == 1 {
				least = 6 // the sink recognises an event stream by "data: " in the first chunk
			}
			cut := rapid.IntRange(least, max(least, len(text))).Draw(t, "cut")
			cut = min(cut, len(text))
			if err := sink.Chunk(relay.Origin{}, sequence, &wire.Chunk{Data: []byte(text[:cut])}); err != nil {
				t.Fatal(err)
			}
			text = text[cut:]
		}
		if strings.Contains(w.Body.String(), "[DONE]") {
			t.Fatal("the final event was sent before the end was known")
		}
		sink.finish(&wire.End{Status: 200}, relay.Origin{})
		var got strings.Builder
		for line := range strings.Lines(w.Body.String()) {
			if !strings.HasPrefix(line, "id: ") {
				got.WriteString(line)
			}
		}
		if got.String() != want.String()+"data: [DONE]\n\n" {
			t.Fatalf("got %q", got.String())
		}
	})
}

func TestResumeTokensAreBoundToOrganisationAndSecret(t *testing.T) {
	origin := relay.Origin{Endpoint: "e", GateAddress: "127.0.0.1:1", GateInstance: "g", Attempt: "x", Organisation: "a"}
	tokens := NewResumeTokens("secret")
	token := tokens.Sign(origin)
	if got, err := tokens.Verify(token, "a"); err != nil || got != origin {
		t.Errorf("%v: %v", got, err)
	}
	if _, err := tokens.Verify(token, "b"); fault.KindOf(err) != fault.Forbidden {
		t.Errorf("another organisation: %v", err)
	}
	for _, bad := range []string{"", "x", "x.y", token + "A", "A" + token, NewResumeTokens("other").Sign(origin)} {
		if _, err := tokens.Verify(bad, "a"); fault.KindOf(err) != fault.InvalidRequest {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func TestPromptTokensAndPrefixBlocksAreCounted(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	cases := []struct {
		body   string
		chat   bool
		tokens uint64
		blocks int
	}{
		{`{"model":"m","prompt":"12345678"}`, false, 2, 0},
		{`{"model":"m","prompt":["1234","5678"]}`, false, 2, 0},
		{`{"model":"m","prompt":[1,2,3]}`, false, 3, 0},
		{`{"model":"m","prompt":"` + long + `"}`, false, 1 << 18, 64},
		{`{"model":"m","messages":[{"role":"user","content":"12345678"},{"role":"user","content":[{"type":"text","text":"1234"}]}]}`, true, 3, 0},
		{`{"model":"m","messages":[{"role":"user","content":"` + long + `"},{"role":"user","content":null}]}`, true, 1 << 18, 64},
	}
	for _, c := range cases {
		p, err := parseCompletion([]byte(c.body), c.chat)
		if err != nil || p.promptTokens != c.tokens || len(p.prefixBlocks) != c.blocks {
			t.Errorf("%.60s: %+v %v", c.body, p, err)
		}
	}
}
