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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	waitLimit = 60 * time.Second // far beyond what a sound run takes
	beatEvery = 200 * time.Millisecond
)

// provider stands in for the platform: it writes settings files, starts the
// processes, and calls them as clients and operators do.
type provider struct {
	t       *testing.T
	binary  string
	folder  string
	ports   [5]int // callers, readiness, operator, first and last of the links
	running map[string]*os.Process
	lost    int    // hosts with a disk that may be lost at once, 0 when none is stated
	seeds   [3]int // hosts that the settings name
}

func newProvider(t *testing.T) *provider {
	t.Helper()
	p := &provider{t: t, folder: t.TempDir(), running: make(map[string]*os.Process), seeds: [3]int{1, 2, 3}}
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

// freePorts finds ports of which the fourth has a free neighbour.
func freePorts(t *testing.T) [5]int {
	t.Helper()
	for {
		var ports [5]int
		for i := range 4 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ports[i] = l.Addr().(*net.TCPAddr).Port
		}
		ports[4] = ports[3] + 1
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", ports[4])); err == nil {
			_ = l.Close()
			return ports
		}
	}
}

// host returns the address of a host on loopback.
func host(n int) string { return fmt.Sprintf("127.0.1.%d", n) }

func (p *provider) start(role string, n int, disk, found bool) {
	p.t.Helper()
	name := fmt.Sprintf("%s%d", role, n)
	file := p.writeSettings(name, n, disk, found)
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
func (p *provider) writeSettings(name string, n int, disk, found bool) string {
	p.t.Helper()
	data := "null"
	if disk {
		data = filepath.Join(p.folder, "data-"+name)
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
`, name, host(n), n, p.ports[0], p.ports[1], p.ports[2], p.ports[3], p.ports[4], host(p.seeds[0]), host(p.seeds[1]), host(p.seeds[2]), found, data, p.lost)
	file := filepath.Join(p.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return file
}

// stop sends a signal and waits for the process to end.
func (p *provider) stop(name string, signal syscall.Signal) {
	process := p.running[name]
	delete(p.running, name)
	if err := process.Signal(signal); err != nil {
		p.t.Logf("%s had ended: %v", name, err)
	}
	if _, err := process.Wait(); err != nil {
		p.t.Logf("%s: %v", name, err)
	}
}

// log returns what a process wrote.
func (p *provider) log(name string) string {
	text, err := os.ReadFile(filepath.Join(p.folder, name+".log"))
	if err != nil {
		p.t.Error(err)
	}
	return string(text)
}

// logs prints what the processes wrote, for a test that failed.
func (p *provider) logs() {
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
	const most = 6000
	return text[max(0, len(text)-most):]
}

// until waits for a condition.
func (p *provider) until(what string, done func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	p.logs()
	p.t.Fatalf("waited in vain: %s", what)
}

// call makes one call; status 0 means that no answer came.
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
		response.Header.Set("Connection", "close") // net/http takes it off
	}
	return response.StatusCode, string(read), response.Header
}

func (p *provider) operator(n int, method, path string, body []byte) (int, string) {
	status, text, _ := call(method, fmt.Sprintf("http://%s:%d%s", host(n), p.ports[2], path), body, nil)
	return status, text
}

// client sends one request to an entry.
func (p *provider) client(n int, path, key, id string) (int, string, http.Header) {
	return call("POST", fmt.Sprintf("http://%s:%d%s", host(n), p.ports[0], path), []byte("body of "+id), map[string]string{
		"Attempt-Id": id, "X-Api-Key": key, "Deadline-Ms": "5000", "Tenant": "forged", "Token-Usage": "100,10",
	})
}

// install sends a configuration to a control process until it is acknowledged.
func (p *provider) install(n int, text string) {
	p.t.Helper()
	p.until("a configuration is acknowledged", func() bool {
		status, _ := p.operator(n, "PUT", "/configuration", []byte(text))
		return status == 200
	})
}

func configuration(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"once","hostname":"site.example","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"service":"s","maxAttempts":1},
{"name":"stream","hostname":"site.example","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"targetItlMs":500,"service":"s","maxAttempts":2,"streamResume":true}],
"services":[{"name":"s","healthPath":"/healthz","maxConnections":50}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000},"tenants":[{"name":"boots","apiKeys":[%s]}]}`, version, keys)
}

// engine stands in for an endpoint. It counts what it ran.
type engine struct {
	t         *testing.T
	id        string
	born      int64
	sequence  atomic.Int64
	address   string
	server    *http.Server
	behaviour atomic.Value // string

	mu   sync.Mutex
	runs map[string]int // by attempt
	seen []http.Header
}

func newEngine(t *testing.T, n int) *engine {
	t.Helper()
	l, err := net.Listen("tcp", host(100+n)+":0")
	if err != nil {
		t.Fatal(err)
	}
	e := &engine{t: t, id: fmt.Sprintf("i-%d", n), born: time.Now().UnixMilli(), address: l.Addr().String(), runs: make(map[string]int)}
	e.behaviour.Store("good")
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

// announce sends heartbeats to the control processes until ctx ends.
func (e *engine) announce(ctx context.Context, p *provider) {
	for n := 1; ctx.Err() == nil; n = n%3 + 1 {
		p.operator(n, "PUT", "/replicas/"+e.id, e.beat("ready"))
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

func (e *engine) beat(state string) []byte {
	text, err := json.Marshal(map[string]any{
		"service": "s", "address": e.address, "zone": "z1", "version": "v1", "slots": 4, "state": state,
		"coldRemainingMs": 0, "sequence": e.sequence.Add(1), "born": e.born,
	})
	if err != nil {
		e.t.Error(err)
	}
	return text
}

func (e *engine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// ServeHTTP answers as its behaviour says.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	behaviour := e.behaviour.Load().(string)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	if behaviour == "full" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.seen = append(e.seen, q.Header.Clone())
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
	_, _ = w.Write(append([]byte("ran "), body...)) // the caller may be gone
}

// stream sends ten events, from the one after Last-Event-Id on.
func (e *engine) stream(w http.ResponseWriter, q *http.Request, behaviour string) {
	from := 0
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &from); err != nil {
			e.t.Errorf("Last-Event-Id %q: %v", last, err)
		}
	}
	for i := from + 1; i <= 10; i++ {
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
