package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/fakeendpoint"
)

const (
	callers      = 24
	restarts     = 12
	outputTokens = 16
)

var promptText = strings.Repeat("word", 100)

// carry sends one attempt to its end and names what was wrong with it.
func carry(client wire.GateClient, id string) (fault string, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, promptText, outputTokens)
	stream, err := client.Attempt(ctx)
	if err != nil {
		return err.Error(), false
	}
	open := &wire.AttemptOpen{
		Attempt: id, Model: "m", Path: "/v1/completions", ContentType: "application/json", BodyBytes: uint64(len(body)),
		PromptTokens: 100, OutputTokens: outputTokens, FirstTokenMs: 20_000, WholeAnswerMs: 20_000, Repeatable: true, Streamed: true,
	}
	for _, up := range []*wire.AttemptUp{
		{Of: &wire.AttemptUp_Open{Open: open}},
		{Of: &wire.AttemptUp_Body{Body: []byte(body)}},
		{Of: &wire.AttemptUp_BodyEnd{BodyEnd: true}},
	} {
		if err := stream.Send(up); err != nil && !errors.Is(err, io.EOF) {
			return err.Error(), false
		}
	}
	var tokens uint32
	for {
		down, err := stream.Recv()
		switch {
		case err != nil:
			return id + " has no end: " + err.Error(), false
		case down.GetRefused() != nil:
			return "", false
		case down.GetEnd() != nil && down.GetEnd().Failure != nil:
			return "", false
		case down.GetEnd() != nil && tokens < outputTokens:
			return fmt.Sprintf("%s ended with %d tokens", id, tokens), true
		case down.GetEnd() != nil:
			return "", true
		}
		tokens += down.GetChunk().GetTokens()
	}
}

// The endpoint restarts again and again, with and without its connections
// breaking, while callers keep it full and while it is idle before a burst: it is never given more than it can
// carry, every attempt ends, and its memory returns to zero.
func TestEndpointRestartsUnderLoad(t *testing.T) {
	n, address := startNeighbours(t)
	options := &Options{
		ID: "agent1", DataCentre: "dc1", Listen: freeAddress(t), AnnounceListen: freeAddress(t),
		Control: []string{address}, DrainLimit: time.Minute,
	}
	engine := fakeendpoint.New(fakeendpoint.Config{
		Name: "e1", Agent: "http://" + options.AnnounceListen, Models: []string{"m"}, MemoryTokens: 1_000_000, PrefillTokensPerSecond: 100_000,
		DecodePerToken: 2 * time.Millisecond, Concurrency: 16, ColdConcurrency: 2, LoadLag: 100 * time.Millisecond, Seed: 1,
	})
	go engine.Run(t.Context())
	web := httptest.NewServer(engine.Handler())
	defer web.Close()
	agent, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, shutDown := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- agent.Run(ctx) }()
	go engine.Announce(ctx, web.Listener.Addr().String())
	awaitReport(t, n, (*wire.GateReport).GetReady)
	conn, err := link.Dial(options.Listen, link.Security{})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	whole := loadWhileRestarting(t, wire.NewGateClient(conn), engine)
	state := engine.State()
	if len(state.Violations) > 0 {
		t.Errorf("breaches: %v", state.Violations)
	}
	if whole == 0 {
		t.Error("no attempt was answered whole")
	}
	awaitIdle(t, agent, engine)
	shutDown()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	t.Logf("%d whole of %d that ran", whole, len(state.RunsByAttempt))
}

func loadWhileRestarting(t *testing.T, client wire.GateClient, engine *fakeendpoint.Endpoint) (whole int) {
	over := make(chan struct{})
	var mu sync.Mutex
	var idle sync.RWMutex // held by the restart that a burst of all callers follows
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				default:
				}
				idle.RLock()
				fault, all := carry(client, fmt.Sprintf("a%d-%d", caller, i))
				idle.RUnlock()
				mu.Lock()
				if fault != "" {
					t.Error(fault)
				}
				if all {
					whole++
				}
				mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	for i := range restarts {
		time.Sleep(time.Duration(100+37*i) * time.Millisecond)
		switch i % 3 {
		case 0:
			engine.Restart(true)
		case 1:
			engine.Restart(false)
		case 2:
			idle.Lock()
			engine.Restart(false)
			idle.Unlock()
		}
	}
	close(over)
	group.Wait()
	return whole
}

func awaitIdle(t *testing.T, agent *Agent, engine *fakeendpoint.Endpoint) {
	t.Helper()
	limit := time.Now().Add(time.Minute)
	for {
		state := engine.State()
		if state.Running == 0 && state.MemoryTokensUsed == 0 && agent.gate.ReservedTokens() == 0 {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%d running, %d tokens in use, %d in the ledger", state.Running, state.MemoryTokensUsed, agent.gate.ReservedTokens())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
