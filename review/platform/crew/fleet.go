package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, as the build line of deploy/system.toml makes it.
const program = "target/apricotspoke-platform"

const (
	hosts       = 3                // at the first start; each runs an entry and a control process with a disk
	mostHosts   = 6                // with those that are added
	startWithin = 30 * time.Second // for the fleet to serve its first request
	heartbeat   = 1200 * time.Millisecond
	callTimeout = 3 * time.Second
)

// settingsTemplate is a settings file with the bounds of kbm-tbilisi.
const settingsTemplate = `nodeName: "edge-ZONE-1"
role: "ROLE"
machineClass: "edge"
serves: ["SERVES"]
ip: "IP"
zone: "ZONE"
region: "tbilisi"
zones: {vake: "tbilisi", saburtalo: "tbilisi", didube: "tbilisi"}
listen: {frontend: "IP:FRONTEND", ready: "IP:READY", controlPlane: "IP:CONTROL"}
internalPorts: [FIRST, LAST]
seedNodes: [SEEDS]
bootstrap: BOOTSTRAP
lossCounts: true
limits: {cpuFraction: 0.72, cpuCores: 1, memoryMb: 284, maxFds: 4100, bandwidthMbps: 1000.0, diskMb: 64}
dataDir: DATA
discovery: "registration"
entryPoint: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "spans"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8,
  lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: true, revokeMs: 5000,
  retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 112, coldOverage: 1.5, coldTolerance: 5, evacuateMs: 5000,
  recoveryS: 12, iterationMs: 120, retryAfterS: 0, stall_ms: 1500, holdMaxMs: 20000, releaseMs: 4000, idleMaxMs: 9000}
configMode: "highest"
`

// fleet is the platform of a case: it writes settings, starts the project's processes and
// calls them as the operator and the provider do.
type fleet struct {
	folder  string // temporary
	network string // of the hosts' loopback addresses
	ports   [5]int // frontend, ready, control plane, first and last internal port
	record  *record

	mu      sync.Mutex
	running map[string]*process
	ending  bool
}

// process is one process of the project. It is started again when it ends by itself.
type process struct {
	role    string
	host    int
	seeds   []int // hosts that its settings name
	cmd     *exec.Cmd
	removed bool
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "crew")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, running: make(map[string]*process)}
	f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	first := 20000 + 10*rand.IntN(1000)
	f.ports = [5]int{first, first + 1, first + 2, first + 3, first + 8}
	for n := 1; n <= mostHosts; n++ {
		for _, port := range append(f.ports[:], 9461, 9462) {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(n), port))
			if err != nil {
				return nil, err
			}
			_ = l.Close()
		}
	}
	return f, nil
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("%s.%d", f.network, host) }

func (f *fleet) frontend(host int) string { return fmt.Sprintf("%s:%d", f.ip(host), f.ports[0]) }

func (f *fleet) url(host, port int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", f.ip(host), f.ports[port], path)
}

func zoneOf(host int) string { return [...]string{"vake", "saburtalo", "didube"}[(host-1)%3] }

// start starts an entry or a control process on a host with an empty disk.
func (f *fleet) start(role string, host int, bootstrap bool, seeds ...int) error {
	name := fmt.Sprintf("%s-%d", role, host)
	p := &process{role: role, host: host, seeds: seeds}
	if err := f.launch(name, p, bootstrap); err != nil {
		return err
	}
	f.mu.Lock()
	f.running[name] = p
	f.mu.Unlock()
	go f.keep(name, p)
	return nil
}

// launch starts the process with the command of the deploy file.
func (f *fleet) launch(name string, p *process, bootstrap bool) error {
	metrics := map[string]string{"entry": "9461", "control": "9462"}[p.role]
	serves, dataDir := "edge", "null"
	if p.role == "control" {
		serves, dataDir = "control", filepath.Join(f.folder, "data-"+name)
	}
	var seeds []string
	for _, n := range p.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.ip(n), f.ports[2])))
	}
	settings := strings.NewReplacer(
		"ROLE", p.role, "SERVES", serves, "IP", f.ip(p.host), "ZONE", zoneOf(p.host), "DATA", dataDir,
		"FRONTEND", fmt.Sprint(f.ports[0]), "READY", fmt.Sprint(f.ports[1]), "CONTROL", fmt.Sprint(f.ports[2]),
		"FIRST", fmt.Sprint(f.ports[3]), "LAST", fmt.Sprint(f.ports[4]),
		"SEEDS", strings.Join(seeds, ", "), "BOOTSTRAP", fmt.Sprint(bootstrap),
	).Replace(settingsTemplate)
	file := filepath.Join(f.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(program, p.role, "--metrics-port", metrics)
	p.cmd.Env = append(os.Environ(), "APRICOTSPOKE_NODE_FILE="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

// keep starts a process again after it has ended by itself.
func (f *fleet) keep(name string, p *process) {
	for {
		err := p.cmd.Wait()
		f.mu.Lock()
		if f.ending || p.removed {
			f.mu.Unlock()
			return
		}
		f.record.add("%s ended by itself: %v: %s", name, err, f.lastPanic(name))
		time.Sleep(200 * time.Millisecond)
		if err := f.launch(name, p, false); err != nil {
			f.record.add("%s can't be started again: %v", name, err)
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
	}
}

// add starts a machine that is added: an entry and a control process at a new address, with an
// empty disk.
func (f *fleet) add(host int, seeds ...int) error {
	f.record.add("machine %d is added, with an empty disk; its seeds are the machines %v", host, seeds)
	for _, role := range []string{"control", "entry"} {
		if err := f.start(role, host, false, seeds...); err != nil {
			return err
		}
	}
	return nil
}

// remove ends the processes of a machine with a signal, for good.
func (f *fleet) remove(host int, signal syscall.Signal) {
	f.record.add("machine %d is removed for good, with the signal %v", host, signal)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.running {
		if p.host == host {
			p.removed = true
			_ = p.cmd.Process.Signal(signal) // fails if it has ended
		}
	}
}

// lastPanic returns the line of the log with which a process ended.
func (f *fleet) lastPanic(name string) string {
	text, err := os.ReadFile(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return ""
	}
	found := ""
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			found = strings.TrimSpace(line)
		}
	}
	return found
}

// stop ends all processes of the fleet.
func (f *fleet) stop() {
	f.mu.Lock()
	f.ending = true
	for _, p := range f.running {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	}
	f.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// startAll starts the whole fleet and installs the first configuration.
func (f *fleet) startAll(configuration string) error {
	for n := 1; n <= hosts; n++ {
		for _, role := range []string{"control", "entry"} {
			if err := f.start(role, n, true, 1, 2, 3); err != nil {
				return err
			}
		}
	}
	if !f.configure(configuration) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	until := time.Now().Add(startWithin)
	for n := 1; n <= hosts; {
		if status, _, err := do(http.MethodGet, f.url(n, 1, "/readyz"), nil); err == nil && status == http.StatusOK {
			n++
			continue
		}
		if time.Now().After(until) {
			return fmt.Errorf("the entry on host %d is not ready", n)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * heartbeat) // every entry has heard every replica
	return nil
}

// configure sends a configuration until it is acknowledged or refused.
func (f *fleet) configure(text string) bool {
	until := time.Now().Add(startWithin)
	for n := 1; time.Now().Before(until); n = n%hosts + 1 {
		status, body, err := do(http.MethodPut, f.url(n, 2, "/configuration"), []byte(text))
		switch {
		case err == nil && status == http.StatusOK:
			f.record.add("the operator: PUT /configuration %s: 200", brief(text))
			return true
		case err == nil && status >= 400 && status < 500:
			f.record.add("the operator: PUT /configuration %s: %d %s", brief(text), status, body)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func brief(text string) string {
	if len(text) > 200 {
		return text[:200] + "..."
	}
	return text
}

// do makes a call to a process.
func do(method, url string, body []byte) (int, string, error) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
