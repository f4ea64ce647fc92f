package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	awaitTimeout      = 60 * time.Second // far above the time of a run without faults
	heartbeatInterval = 200 * time.Millisecond
)

// fakePlatform simulates the platform: it writes settings files, starts the processes,
// and calls them as clients and operators do.
type fakePlatform struct {
	t                  *testing.T
	binary             string
	folder             string
	ports              [5]int // for callers, readiness, operators, and the first and last for links
	running            map[string]*os.Process
	diskFaultTolerance int    // number of hosts with a disk that may be lost at once, 0 for the default
	seeds              [3]int // numbers of the seed hosts in the settings
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{t: t, folder: t.TempDir(), running: make(map[string]*os.Process), seeds: [3]int{1, 2, 3}}
	p.binary = filepath.Join(p.folder, "apricotspoke-platform")
	build := exec.Command("go", "build", "-o", p.binary, "github.com/apricotspoke/apricotspoke/cmd/apricotspoke-platform")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.ports = freePorts(t)
	t.Cleanup(func() {
		for name := range p.running {
			p.stop(name, syscall.SIGKILL)
		}
	})
	return p
}

// freePorts reserves five ports in a row for a fleet.
func freePorts(t *testing.T) [5]int {
	t.Helper()
	first, err := loopback.ReservePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	return [5]int{first, first + 1, first + 2, first + 3, first + 4}
}

// host returns the loopback address of a simulated host.
func host(n int) string { return fmt.Sprintf("127.0.1.%d", n) }

func (p *fakePlatform) start(role string, n int, disk, bootstrap bool) {
	p.t.Helper()
	name := fmt.Sprintf("%s%d", role, n)
	file := p.writeSettings(name, n, disk, bootstrap)
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(p.binary, role)
	command.Env = append(os.Environ(), "APRICOTSPOKE_NODE_FILE="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running[name] = command.Process
}

// writeSettings writes a process's settings file and returns its path.
func (p *fakePlatform) writeSettings(name string, n int, disk, bootstrap bool) string {
	p.t.Helper()
	dataDir := "null"
	if disk {
		dataDir = filepath.Join(p.folder, "data-"+name)
	}
	settings := fmt.Sprintf(`
nodeName: %q
ip: %q
zone: "z%[3]d"
listen: {frontend: "%[2]s:%[4]d", ready: "%[2]s:%[5]d", controlPlane: "%[2]s:%[6]d"}
internalPorts: [%[7]d, %[8]d]
seedNodes: ["%[9]s:%[6]d", "%[10]s:%[6]d", "%[11]s:%[6]d"]
bootstrap: %[12]v
limits: {memoryMb: 200, maxFds: 1000}
dataDir: %[13]s
faultTolerance: {machines: %[14]d}
bounds: {contactMs: 3000, graceS: 8, strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 100}
`, name, host(n), n, p.ports[0], p.ports[1], p.ports[2], p.ports[3], p.ports[4], host(p.seeds[0]), host(p.seeds[1]), host(p.seeds[2]), bootstrap, dataDir, p.diskFaultTolerance)
	file := filepath.Join(p.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return file
}

// stop sends a signal to a process and waits until it has ended.
func (p *fakePlatform) stop(name string, signal syscall.Signal) {
	process := p.running[name]
	delete(p.running, name)
	if err := process.Signal(signal); err != nil {
		p.t.Logf("%s had ended: %v", name, err)
	}
	if _, err := process.Wait(); err != nil {
		p.t.Logf("%s: %v", name, err)
	}
}

// log returns the log of a process.
func (p *fakePlatform) log(name string) string {
	text, err := os.ReadFile(filepath.Join(p.folder, name+".log"))
	if err != nil {
		p.t.Error(err)
	}
	return string(text)
}

// logs prints the end of each process's log, for a failed test.
func (p *fakePlatform) logs() {
	files, err := filepath.Glob(filepath.Join(p.folder, "*.log"))
	if err != nil {
		p.t.Log(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			p.t.Log(err)
		}
		p.t.Logf("%s\n%s", filepath.Base(file), tail(text))
	}
}

func tail(text []byte) []byte {
	const maxBytes = 6000
	return text[max(0, len(text)-maxBytes):]
}

// await waits until done returns true. It fails the test after awaitTimeout.
func (p *fakePlatform) await(what string, done func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	p.logs()
	p.t.Fatalf("timed out waiting until %s", what)
}

// awaitReady waits until the entries on the hosts are ready.
func (p *fakePlatform) awaitReady(hosts ...int) {
	p.t.Helper()
	for _, n := range hosts {
		p.await("the entry is ready", func() bool {
			status, _, _ := call("GET", fmt.Sprintf("http://%s:%d/readyz", host(n), p.ports[1]), nil, nil)
			return status == 200
		})
	}
}

// call sends an HTTP request. Status 0 means that there was no answer.
func call(method, url string, body []byte, headers map[string]string) (status int, text string, header http.Header) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error(), nil
	}
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	q.Host = "site.example"
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Do(q)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	if response.Close {
		response.Header.Set("Connection", "close") // net/http removes the header
	}
	return response.StatusCode, string(read), response.Header
}

func (p *fakePlatform) operatorCall(n int, method, path string, body []byte) (int, string) {
	status, text, _ := call(method, fmt.Sprintf("http://%s:%d%s", host(n), p.ports[2], path), body, nil)
	return status, text
}

// request sends a request to an entry, with a forged tenant that the entry must replace.
func (p *fakePlatform) request(n int, path, key, id string) (int, string, http.Header) {
	return call("POST", fmt.Sprintf("http://%s:%d%s", host(n), p.ports[0], path), []byte("body of "+id), map[string]string{
		"Attempt-Id": id, "X-Api-Key": key, "Deadline-Ms": "5000", "Tenant": "forged", "Token-Usage": "100,10",
	})
}

// putConfiguration sends a configuration to a control process until it is accepted.
func (p *fakePlatform) putConfiguration(n int, text string) {
	p.t.Helper()
	p.await("a configuration is accepted", func() bool {
		status, _ := p.operatorCall(n, "PUT", "/configuration", []byte(text))
		return status == 200
	})
}

func configuration(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"once","hostname":"site.example","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"service":"s","maxAttempts":1},
{"name":"stream","hostname":"site.example","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"targetItlMs":500,"service":"s","maxAttempts":2,"streamResume":true}],
"services":[{"name":"s","healthPath":"/healthz","maxConnections":50,"coldStartS":60,"coldPerS":4}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000},"tenants":[{"name":"boots","apiKeys":[%s]}]}`, version, keys)
}

// fakeEndpoint simulates an endpoint and counts the requests that it ran.
type fakeEndpoint struct {
	t         *testing.T
	id        string
	bornMs    int64
	sequence  atomic.Int64
	address   string
	server    *http.Server
	behaviour atomic.Value // "good", "full", "cut" (breaks off answers) or "foreign" (names another attempt)

	slots       atomic.Int64
	coldMs      atomic.Int64
	answerDelay atomic.Int64 // time before each answer, as a time.Duration
	rateLimit   atomic.Value // text stated in each answer, "" for none
	unstated    atomic.Int64 // number of next answers that don't state the rate limit

	mu       sync.Mutex
	runs     map[string]int // by attempt id
	received []http.Header
	arrivals []time.Time
	statedAt time.Time // when a rate limit was first stated
}

func newFakeEndpoint(t *testing.T, n int) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", host(100+n)+":0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEndpoint{t: t, id: fmt.Sprintf("i-%d", n), bornMs: time.Now().UnixMilli(), address: l.Addr().String(), runs: make(map[string]int)}
	e.behaviour.Store("good")
	e.rateLimit.Store("")
	e.slots.Store(4)
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

// announce sends heartbeats to the control processes in turn until ctx ends.
func (e *fakeEndpoint) announce(ctx context.Context, p *fakePlatform) {
	for n := 1; ctx.Err() == nil; n = n%3 + 1 {
		p.operatorCall(n, "PUT", "/replicas/"+e.id, e.heartbeat("ready"))
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *fakeEndpoint) heartbeat(state string) []byte {
	text, err := json.Marshal(map[string]any{
		"service": "s", "address": e.address, "zone": "z1", "version": "v1", "slots": e.slots.Load(), "state": state,
		"coldRemainingMs": e.coldMs.Load(), "sequence": e.sequence.Add(1), "born": e.bornMs,
	})
	if err != nil {
		e.t.Error(err)
	}
	return text
}

func (e *fakeEndpoint) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// ServeHTTP answers according to the endpoint's behaviour.
func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	behaviour := e.behaviour.Load().(string)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	e.recordArrival()
	time.Sleep(time.Duration(e.answerDelay.Load()))
	e.stateRateLimit(w.Header())
	if behaviour == "full" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.received = append(e.received, q.Header.Clone())
	e.mu.Unlock()
	if behaviour == "foreign" {
		w.Header().Set("Attempt-Id", "another")
	}
	w.Header().Set("Replica-Signature", "signature-of-"+e.id)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		e.stream(w, q, behaviour)
		return
	}
	if behaviour == "cut" {
		w.Header().Set("Content-Length", "1000")
	}
	_, _ = w.Write(append([]byte("ran "), body...)) // the caller may have disconnected
}

func (e *fakeEndpoint) recordArrival() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
}

func (e *fakeEndpoint) stateRateLimit(h http.Header) {
	text := e.rateLimit.Load().(string)
	if text == "" || e.unstated.Add(-1) >= 0 {
		return
	}
	h.Set("Server-Limit", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.statedAt.IsZero() {
		e.statedAt = time.Now()
	}
}

// arrivalsSince returns the times at which requests arrived after a time.
func (e *fakeEndpoint) arrivalsSince(from time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.IndexFunc(e.arrivals, func(t time.Time) bool { return t.After(from) })
	if at < 0 {
		return nil
	}
	return slices.Clone(e.arrivals[at:])
}

// firstStatedAt returns when the endpoint first stated a rate limit.
func (e *fakeEndpoint) firstStatedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statedAt
}

// stream sends those of ten events that follow the one in Last-Event-Id.
func (e *fakeEndpoint) stream(w http.ResponseWriter, q *http.Request, behaviour string) {
	lastID := 0
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &lastID); err != nil {
			e.t.Errorf("Last-Event-Id %q: %v", last, err)
		}
	}
	for i := lastID + 1; i <= 10; i++ {
		if behaviour == "cut" && i == 5 {
			_, _ = io.WriteString(w, "id: 5\nda")
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
