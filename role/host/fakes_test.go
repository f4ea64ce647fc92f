package host

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	network            string // of the hosts' loopback addresses, of this fleet alone
	ports              [5]int // for callers, readiness, operators, and the first and last for links
	running            map[string]*os.Process
	diskFaultTolerance int      // number of hosts with a disk that may be lost at once, 0 for the default
	seeds              [3]int   // numbers of the seed hosts in the settings
	environment        []string // variables of the processes, beside those of the test
	arguments          []string // of the processes, after the role
	startFull          bool     // processes start as on a full disk; see limitFiles
	memoryMb, maxFds   int      // limits of the processes in the settings
	pipedLogs          bool     // the processes' logs pass through pipes, which limits on the size of files leave alone
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{t: t, folder: t.TempDir(), running: make(map[string]*os.Process), seeds: [3]int{1, 2, 3}, memoryMb: 200, maxFds: 1000}
	p.binary = filepath.Join(p.folder, "apricotspoke-platform")
	build := exec.Command("go", "build", "-o", p.binary, "github.com/apricotspoke/apricotspoke/cmd/apricotspoke-platform")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p.network, p.ports = freeAddresses(t)
	t.Cleanup(func() {
		for name := range p.running {
			p.stop(name, syscall.SIGKILL)
		}
	})
	return p
}

// freeAddresses returns the network of a fleet's hosts, and reserves five ports in a row.
func freeAddresses(t *testing.T) (network string, ports [5]int) {
	t.Helper()
	first, err := loopback.ReservePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	return loopback.UnusedNetwork(), [5]int{first, first + 1, first + 2, first + 3, first + 4}
}

// host returns the loopback address of a simulated host.
func (p *fakePlatform) host(n int) string { return fmt.Sprintf("%s.%d", p.network, n) }

func (p *fakePlatform) start(role string, n int, disk, bootstrap bool) {
	p.t.Helper()
	name := fmt.Sprintf("%s%d", role, n)
	file := p.writeSettings(name, n, disk, bootstrap)
	log, err := os.OpenFile(filepath.Join(p.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	if p.pipedLogs {
		log = p.pipeTo(log)
	}
	defer log.Close()
	command := exec.Command(p.binary, append([]string{role}, p.arguments...)...)
	if p.startFull {
		command = exec.Command("sh", "-c", `ulimit -S -f 0 && exec "$0" "$1"`, p.binary, role)
	}
	command.Env = append(append(os.Environ(), p.environment...), "APRICOTSPOKE_NODE_FILE="+file)
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
limits: {memoryMb: %[15]d, maxFds: %[16]d}
dataDir: %[13]s
faultTolerance: {machines: %[14]d}
bounds: {contactMs: 3000, graceS: 8, strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 100}
`, name, p.host(n), n, p.ports[0], p.ports[1], p.ports[2], p.ports[3], p.ports[4], p.host(p.seeds[0]), p.host(p.seeds[1]), p.host(p.seeds[2]), bootstrap, dataDir, p.diskFaultTolerance, p.memoryMb, p.maxFds)
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
			status, _, _ := call("GET", fmt.Sprintf("http://%s:%d/readyz", p.host(n), p.ports[1]), nil, nil)
			return status == 200
		})
	}
}

// callTimeout bounds a call, the answer included.
const callTimeout = 5 * time.Second

// call sends an HTTP request. Status 0 means that there was no answer.
func call(method, url string, body []byte, headers map[string]string) (status int, text string, header http.Header) {
	return callWithin(callTimeout, method, url, body, headers)
}

// callWithin is call with a timeout.
func callWithin(timeout time.Duration, method, url string, body []byte, headers map[string]string) (status int, text string, header http.Header) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error(), nil
	}
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	q.Host = "site.example"
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{}}
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
	status, text, _ := call(method, fmt.Sprintf("http://%s:%d%s", p.host(n), p.ports[2], path), body, nil)
	return status, text
}

// request sends a request to an entry, with a forged tenant that the entry must replace.
func (p *fakePlatform) request(n int, path, key, id string) (int, string, http.Header) {
	return call("POST", fmt.Sprintf("http://%s:%d%s", p.host(n), p.ports[0], path), []byte("body of "+id), map[string]string{
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

// awaitConfiguration waits until hosts answer with the configuration of a version.
func (p *fakePlatform) awaitConfiguration(version int, hosts ...int) {
	p.t.Helper()
	for _, n := range hosts {
		p.await(fmt.Sprintf("host %d answers with version %d", n, version), func() bool {
			status, text := p.operatorCall(n, "GET", "/configuration", nil)
			return status == 200 && text == configuration(version, `"key"`)
		})
	}
}

func configuration(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"once","hostname":"site.example","pathPrefix":"/once/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"service":"s","maxAttempts":1},
{"name":"stream","hostname":"site.example","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"targetItlMs":500,"service":"s","maxAttempts":2,"streamResume":true}],
"services":[{"name":"s","healthPath":"/healthz","maxConnections":50,"coldStartS":60,"coldPerS":4}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000},"tenants":[{"name":"boots","apiKeys":[%s]}]}`, version, keys)
}
