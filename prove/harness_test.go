// Package prove holds end-to-end tests under faults. They start control replicas,
// entries and agents (each with a gate) as processes, with simulated endpoints
// and, where a test needs them, fault proxies on the links, and check the
// invariants while processes and links fail. The long tests have the build tag
// prove.
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
	key           = "prove-key"
	model         = "m1"
	idleTimeout   = 30 * time.Second // until the endpoints have no work and no memory in use
	serveTimeout  = 30 * time.Second // until a process or a fleet serves again
	streamTimeout = 2 * time.Minute  // of one streamed completion

	retryInterval = 100 * time.Millisecond // between two sends of a refused request
)

// TestMain builds the programs, so that no test runs outdated ones, unless
// cluster.BinVariable names a folder with them.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
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

// fixture is a running fleet with the contract of one organisation, and a client.
type fixture struct {
	*cluster.Cluster
	t               *testing.T
	client          *caller.Client
	bookingDeadline time.Duration // deadline that callers set for bookings; 0 for that of the contract
}

// engineOptions describes a simulated endpoint that serves model.
func engineOptions(name, dataCentre string, flags ...string) cluster.EndpointOptions {
	defaults := []string{"--model=" + model, "--memory-tokens=600000", "--prefill-rate=200000", "--decode-ms=10", "--concurrency=16"}
	return cluster.EndpointOptions{Name: name, DataCentre: dataCentre, Flags: append(defaults, flags...)}
}

// bookingOptions describes the endpoint of the service "booking", whose requests
// must not run twice.
func bookingOptions(dataCentre string, flags ...string) cluster.EndpointOptions {
	return cluster.EndpointOptions{Name: "booking", DataCentre: dataCentre, Flags: append([]string{"--service=booking"}, flags...)}
}

// startFleet starts a fleet with the given endpoints, with fault proxies on its
// links if proxied is set.
func startFleet(t *testing.T, proxied bool, endpoints ...cluster.EndpointOptions) *fixture {
	t.Helper()
	return startFleetWith(t, cluster.Options{Proxied: proxied, Endpoints: endpoints})
}

// startFleetWith starts three control replicas, two entries and the endpoints of
// the options in three data centres, and waits until both entries serve.
func startFleetWith(t *testing.T, options cluster.Options) *fixture {
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

// showLogs logs the end of each process's log.
func (f *fixture) showLogs(folder string) {
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		f.t.Logf("--- %s\n%s", filepath.Base(path), data[max(0, len(data)-3000):])
	}
}

func (f *fixture) awaitServed(entry int) {
	f.t.Helper()
	if err := f.AwaitServing(f.t.Context(), f.client, f.Entries[entry].HTTPAddress, key, serveTimeout); err != nil {
		f.t.Fatal(err)
	}
}

// checkInvariants checks the invariants that the simulated endpoints record.
func (f *fixture) checkInvariants() {
	f.t.Helper()
	if err := f.CheckInvariants(f.t.Context(), idleTimeout); err != nil {
		f.t.Error(err)
	}
}

// must ends the test if err is not nil.
func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// completeWithin sends a completion and requires the correct, complete answer. It
// sends again while the request is refused as not run with a Retry-After.
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
		time.Sleep(retryInterval)
	}
}

// sendBooking sends a booking under an idempotency key.
func (f *fixture) sendBooking(entry int, idempotencyKey string) caller.Result {
	return f.client.Send(f.t.Context(), caller.Request{
		Entry: f.Entries[entry].HTTPAddress, Method: "POST", Path: "/services/booking/book", Key: key,
		IdempotencyKey: idempotencyKey, Deadline: f.bookingDeadline,
		Body: fmt.Appendf(nil, `{"reference":%q}`, idempotencyKey),
	})
}

// keyRuns returns how often the booking with an idempotency key ran.
func (f *fixture) keyRuns(idempotencyKey string) int {
	f.t.Helper()
	runs, err := f.KeyRuns(f.t.Context(), idempotencyKey)
	f.must(err)
	return runs
}

// stream is one streamed completion that runs in the background.
type stream struct {
	prompt  string
	tokens  int
	started chan struct{} // closed at the first text of the answer
	done    chan struct{}
	cancel  context.CancelFunc // disconnects the caller
	result  caller.Result
}

// startStreams starts streamed completions through the entries in turn and waits
// until each has text or has ended.
func (f *fixture) startStreams(count, tokens int) []*stream {
	f.t.Helper()
	streams := make([]*stream, count)
	for i := range streams {
		streams[i] = f.startStream(i%len(f.Entries), fmt.Sprintf("stream %d", i), tokens)
	}
	for _, s := range streams {
		select {
		case <-s.started:
		case <-s.done:
		}
	}
	return streams
}

// startStream starts one streamed completion.
func (f *fixture) startStream(entry int, prompt string, tokens int) *stream {
	s := &stream{prompt: prompt, tokens: tokens, started: make(chan struct{}), done: make(chan struct{})}
	request := caller.Completion(f.Entries[entry].HTTPAddress, key,
		completions.Request{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: true})
	request.OnText = sync.OnceFunc(func() { close(s.started) })
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), streamTimeout)
	s.cancel = cancel
	go func() {
		defer cancel()
		s.result = f.client.Send(ctx, request)
		close(s.done)
	}()
	return s
}

// wait waits for the end of the stream.
func (s *stream) wait() caller.Result {
	<-s.done
	return s.result
}

// correct reports whether the stream brought the correct, complete answer.
func (s *stream) correct() bool {
	return s.wait().OK() && s.result.Text == completions.Text(s.prompt, s.tokens)
}

// correctPrefix reports whether the answer is correct and complete, or is marked
// as incomplete and its text is the beginning of the correct one.
func (s *stream) correctPrefix() bool {
	result := s.wait()
	if result.OK() {
		return s.correct()
	}
	return strings.HasPrefix(completions.Text(s.prompt, s.tokens), result.Text)
}

// requireCorrect reports an error for each stream that is not correct.
func (f *fixture) requireCorrect(streams []*stream) {
	f.t.Helper()
	for _, s := range streams {
		if !s.correct() {
			f.t.Errorf("%s from %s: %s", s.prompt, s.result.Endpoint(), describe(s.result))
		}
	}
}

// requireCorrectPrefix reports an error for each stream with text that is not from
// the beginning of its own answer.
func (f *fixture) requireCorrectPrefix(streams []*stream) {
	f.t.Helper()
	for _, s := range streams {
		if !s.correctPrefix() {
			f.t.Errorf("%s from %s: %s", s.prompt, s.result.Endpoint(), describe(s.result))
		}
	}
}

// describe formats a result for a message.
func describe(r caller.Result) string {
	return fmt.Sprintf("status %d, complete %v, not run %v, %d bytes of text, failure %q, body %.200q, after %s",
		r.Status, r.Complete, r.NotRun(), len(r.Text), r.Failure, r.Body, r.Total.Round(time.Millisecond))
}

// endpointNamed returns the endpoint with a name.
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
