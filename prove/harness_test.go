// Package prove runs real processes, with fault proxies between them, and
// checks what must hold while they fail. The long ones have the build tag prove.
package prove

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/cluster"
	"github.com/apricotspoke/apricotspoke/trials/completions"
)

const (
	key        = "prove-key"
	model      = "m1"
	idleLimit  = 30 * time.Second // until no work and no memory is in use
	serveLimit = 30 * time.Second
	endLimit   = 2 * time.Minute

	resendPause = 100 * time.Millisecond
)

// TestMain builds the programs, so that no trial meets old ones.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if os.Getenv(cluster.BinVariable) != "" {
		return m.Run()
	}
	bin, err := os.MkdirTemp("", "apricotspoke-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	build := exec.Command("go", "build", "-o", bin+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	os.Setenv(cluster.BinVariable, bin)
	return m.Run()
}

// fixture is a fleet with one organisation and a client.
type fixture struct {
	*cluster.Cluster
	t            *testing.T
	client       *caller.Client
	bookDeadline time.Duration // that callers set for bookings; 0 leaves it to the contract
}

func engine(name, dataCentre string, flags ...string) cluster.EndpointOptions {
	defaults := []string{"--model=" + model, "--memory-tokens=600000", "--prefill-rate=200000", "--decode-ms=10", "--concurrency=16"}
	return cluster.EndpointOptions{Name: name, DataCentre: dataCentre, Flags: append(defaults, flags...)}
}

func booking(dataCentre string, flags ...string) cluster.EndpointOptions {
	return cluster.EndpointOptions{Name: "booking", DataCentre: dataCentre, Flags: append([]string{"--service=booking"}, flags...)}
}

func start(t *testing.T, proxied bool, endpoints ...cluster.EndpointOptions) *fixture {
	t.Helper()
	return startWith(t, cluster.Options{Proxied: proxied, Endpoints: endpoints})
}

// startWith starts three control replicas and two entries in three data centres.
func startWith(t *testing.T, options cluster.Options) *fixture {
	t.Helper()
	folder, err := os.MkdirTemp("", "apricotspoke-prove-")
	if err != nil {
		t.Fatal(err)
	}
	options.Folder, options.Seed, options.Controls, options.Entries = folder, 1, 3, 2
	options.DataCentres = []string{"dc1", "dc2", "dc3"}
	c, err := cluster.Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{Cluster: c, t: t, client: caller.New()}
	t.Cleanup(func() {
		f.client.Close()
		c.Kill()
		if t.Failed() {
			f.showLogs(folder)
		}
		os.RemoveAll(folder)
	})
	if err := c.PutContract(t.Context(), cluster.AmpleContract("prover", key)); err != nil {
		t.Fatal(err)
	}
	for i := range c.Entries {
		f.awaitServed(i)
	}
	return f
}

func (f *fixture) showLogs(folder string) {
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		f.t.Logf("--- %s\n%s", filepath.Base(path), data[max(0, len(data)-3000):])
	}
}

func (f *fixture) awaitServed(entry int) {
	f.t.Helper()
	if err := f.AwaitServing(f.t.Context(), f.client, f.Entries[entry].HTTPAddress, key, serveLimit); err != nil {
		f.t.Fatal(err)
	}
}

// checkInvariants asks the stand-ins at the end of a trial.
func (f *fixture) checkInvariants() {
	f.t.Helper()
	if err := f.CheckInvariants(f.t.Context(), idleLimit); err != nil {
		f.t.Error(err)
	}
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// completeWithin sends a completion and requires the whole right answer. It
// sends again, as callers are told to, while it is refused as not run.
func (f *fixture) completeWithin(limit time.Duration, entry int, prompt string, tokens int) {
	f.t.Helper()
	request := completions.Request{Model: model, Prompt: prompt, MaxTokens: tokens}
	started := time.Now()
	for {
		result := f.client.Send(f.t.Context(), caller.Completion(f.Entries[entry].HTTPAddress, key, request))
		if result.OK() && result.Text == completions.Text(prompt, tokens) {
			f.t.Logf("completion through entry %d served after %s", entry+1, time.Since(started).Round(time.Millisecond))
			return
		}
		refused := result.NotRun() && result.RetryAfter() != ""
		if !refused || time.Since(started) > limit {
			f.t.Errorf("completion through entry %d after %s: %s", entry+1, time.Since(started), describe(result))
			return
		}
		time.Sleep(resendPause)
	}
}

// book sends a booking under an idempotency key.
func (f *fixture) book(entry int, idempotencyKey string) caller.Result {
	return f.client.Send(f.t.Context(), caller.Request{
		Entry: f.Entries[entry].HTTPAddress, Method: "POST", Path: "/services/booking/book", Key: key,
		IdempotencyKey: idempotencyKey, Deadline: f.bookDeadline,
		Body: fmt.Appendf(nil, `{"reference":%q}`, idempotencyKey),
	})
}

// keyRuns adds up how often a key's booking ran.
func (f *fixture) keyRuns(idempotencyKey string) int {
	f.t.Helper()
	runs, err := f.KeyRuns(f.t.Context(), idempotencyKey)
	f.must(err)
	return runs
}

// stream is one streamed completion that runs in the background.
type stream struct {
	prompt string
	tokens int
	began  chan struct{} // closed at the first text
	ended  chan struct{}
	cancel context.CancelFunc // the caller goes
	result caller.Result
}

// startStreams starts streamed completions, spread over the entries, and waits
// until each has begun or ended.
func (f *fixture) startStreams(count, tokens int) []*stream {
	f.t.Helper()
	streams := make([]*stream, count)
	for i := range streams {
		streams[i] = f.startStream(i%len(f.Entries), fmt.Sprintf("stream %d", i), tokens)
	}
	for _, s := range streams {
		select {
		case <-s.began:
		case <-s.ended:
		}
	}
	return streams
}

func (f *fixture) startStream(entry int, prompt string, tokens int) *stream {
	s := &stream{prompt: prompt, tokens: tokens, began: make(chan struct{}), ended: make(chan struct{})}
	request := caller.Completion(f.Entries[entry].HTTPAddress, key,
		completions.Request{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: true})
	request.OnText = sync.OnceFunc(func() { close(s.began) })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), endLimit)
	s.cancel = cancel
	go func() {
		defer cancel()
		s.result = f.client.Send(ctx, request)
		close(s.ended)
	}()
	return s
}

func (s *stream) wait() caller.Result {
	<-s.ended
	return s.result
}

// right reports whether the whole right answer came.
func (s *stream) right() bool {
	return s.wait().OK() && s.result.Text == completions.Text(s.prompt, s.tokens)
}

// honest reports whether the answer is the whole right one, or admits to be none:
// what came is the beginning of the right one.
func (s *stream) honest() bool {
	result := s.wait()
	if result.OK() {
		return s.right()
	}
	return strings.HasPrefix(completions.Text(s.prompt, s.tokens), result.Text)
}

// requireRight fails for each stream that is not right.
func (f *fixture) requireRight(streams []*stream) {
	f.t.Helper()
	for _, s := range streams {
		if !s.right() {
			f.t.Errorf("%s from %s: %s", s.prompt, s.result.Endpoint(), describe(s.result))
		}
	}
}

// requireHonest fails for each stream whose answer is another's or not in order.
func (f *fixture) requireHonest(streams []*stream) {
	f.t.Helper()
	for _, s := range streams {
		if !s.honest() {
			f.t.Errorf("%s from %s: %s", s.prompt, s.result.Endpoint(), describe(s.result))
		}
	}
}

func describe(r caller.Result) string {
	return fmt.Sprintf("status %d, whole %v, not run %v, %d bytes of text, failure %q, body %.200q, after %s",
		r.Status, r.Complete, r.NotRun(), len(r.Text), r.Failure, r.Body, r.Total.Round(time.Millisecond))
}

// endpointNamed returns the endpoint of a name.
func (f *fixture) endpointNamed(name string) *cluster.Endpoint {
	f.t.Helper()
	for _, e := range f.Endpoints {
		if e.Name == name {
			return e
		}
	}
	f.t.Fatalf("no endpoint %q", name)
	return nil
}
