package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/fakeendpoint"
	"github.com/apricotspoke/apricotspoke/trials/httpserver"
)

const (
	callers      = 24
	restarts     = 12
	outputTokens = 16
)

var promptText = strings.Repeat("word", 100)

// runAttempt sends an attempt and reads its answer to the end. It returns a
// description of a wrong answer, and whether the answer was complete.
func runAttempt(client wire.GateClient, id string) (problem string, complete bool) {
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

// An endpoint restarts many times, with and without breaking its connections, both
// under full load and idle before a burst. The agent never exceeds the endpoint's
// limits, every attempt ends, and all memory of the endpoint is released.
func TestEndpointRestartsUnderLoad(t *testing.T) {
	peers, address := startFakePeers(t)
	options := newOptions(t, address)
	engine := fakeendpoint.New(fakeendpoint.Config{
		Name: "e1", Agent: "http://" + options.AnnounceListen, Models: []string{"m"}, MemoryTokens: 1_000_000, PrefillTokensPerSecond: 100_000,
		DecodePerToken: 2 * time.Millisecond, Concurrency: 16, ColdConcurrency: 2, LoadLag: 100 * time.Millisecond, Seed: 1,
	})
	go engine.Run(t.Context())
	engineServer := httpserver.Start(t, engine.Handler())
	agent, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, shutDown := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- agent.Run(ctx) }()
	go engine.Announce(ctx, engineServer.Listener.Addr().String())
	awaitReport(t, peers, (*wire.GateReport).GetReady)
	conn, err := link.Dial(options.Listen, link.Security{})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	completed := loadWhileRestarting(t, wire.NewGateClient(conn), engine)
	state := engine.State()
	if len(state.Violations) > 0 {
		t.Errorf("violations of the endpoint's limits: %v", state.Violations)
	}
	if completed == 0 {
		t.Error("no attempt got a complete answer")
	}
	awaitIdle(t, agent, engine)
	shutDown()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	t.Logf("%d complete answers of %d attempts that ran", completed, len(state.RunsByAttempt))
}

func loadWhileRestarting(t *testing.T, client wire.GateClient, engine *fakeendpoint.Endpoint) (completed int) {
	stopped := make(chan struct{})
	var mu sync.Mutex
	var idleMu sync.RWMutex // held during a restart that a burst from all callers follows
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				idleMu.RLock()
				problem, complete := runAttempt(client, fmt.Sprintf("a%d-%d", caller, i))
				idleMu.RUnlock()
				mu.Lock()
				if problem != "" {
					t.Error(problem)
				}
				if complete {
					completed++
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
			idleMu.Lock()
			engine.Restart(false)
			idleMu.Unlock()
		}
	}
	close(stopped)
	group.Wait()
	return completed
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
			t.Fatalf("%d running, %d tokens in use, %d reserved at the gate", state.Running, state.MemoryTokensUsed, agent.gate.ReservedTokens())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
