package main

import (
	"bytes"
	"encoding/json"
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

// The ports of one fleet. Each machine has a loopback address of its own, so that all
// machines use the same ports, as on the platform.
const (
	frontendPort     = 18227
	readyPort        = 18220
	controlPlanePort = 18229
	firstLinkPort    = 17340
	lastLinkPort     = 17355
	replicaPort      = 18080
)

// The figures of a small deployment, as the pages state them for Kartuli Boot
// Co-operative.
const (
	heartbeatMs = 1200
	contact     = 3 * time.Second
	drainMs     = 2000
)

// machine is one edge machine.
type machine struct {
	name, zone, ip string
	disk           bool
}

func (m *machine) frontend() string     { return fmt.Sprintf("%s:%d", m.ip, frontendPort) }
func (m *machine) ready() string        { return fmt.Sprintf("%s:%d", m.ip, readyPort) }
func (m *machine) controlPlane() string { return fmt.Sprintf("%s:%d", m.ip, controlPlanePort) }

// fleet is the platform's side: it writes settings files, starts the project's
// processes, and ends those that it started.
type fleet struct {
	folder   string
	prefix   string // of the loopback addresses: "127.A.B"
	machines []*machine
	record   *record

	mu      sync.Mutex
	running map[string]*process
}

type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// newFleet describes three zones with two edge machines each. The first machine of each
// zone has a disk, as in deploy/system.toml's deployments.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "apricotspoke-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, running: make(map[string]*process)}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", f.prefix+".250:0")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	for z, zone := range []string{"vake", "saburtalo", "didube"} {
		for n := range 2 {
			f.machines = append(f.machines, &machine{
				name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, disk: n == 0,
				ip: fmt.Sprintf("%s.%d", f.prefix, 10*(z+1)+n),
			})
		}
	}
	return f, nil
}

// controls returns the addresses of all control processes.
func (f *fleet) controls() []string {
	var all []string
	for _, m := range f.machines {
		all = append(all, m.controlPlane())
	}
	return all
}

func (f *fleet) settings(m *machine, role string, first bool) string {
	dataDir := ""
	if m.disk && role == "control" {
		dataDir = filepath.Join(f.folder, "data", m.name)
	}
	listen := fmt.Sprintf("  frontend: %q\n  ready: %q\n", m.frontend(), m.ready())
	serves := "edge"
	if role == "control" {
		listen = fmt.Sprintf("  controlPlane: %q\n", m.controlPlane())
		serves = "control"
	}
	seeds := ""
	for _, s := range f.machines {
		if s.disk {
			seeds += fmt.Sprintf("  - %q\n", s.controlPlane())
		}
	}
	text := fmt.Sprintf(`nodeName: %q
role: %q
machineClass: "edge"
serves:
  - %q
ip: %q
zone: %q
region: "tbilisi"
zones:
  vake: "tbilisi"
  saburtalo: "tbilisi"
  didube: "tbilisi"
listen:
%sinternalPorts:
  - %d
  - %d
seedNodes:
%sbootstrap: %v
lossCounts: %v
limits: {cpuFraction: 0.72, cpuCores: 1, memoryMb: 284, maxFds: 4100, bandwidthMbps: 1000.0, diskMb: 64}
`, m.name, role, serves, m.ip, m.zone, listen, firstLinkPort, lastLinkPort, seeds, first, m.disk)
	if dataDir != "" {
		text += fmt.Sprintf("dataDir: %q\n", dataDir)
	}
	return text + `discovery: "registration"
entryPoint: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "spans"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200,
  configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2,
  budgetWindowS: 10, budgetSlack: 112, coldOverage: 1.5, coldTolerance: 5, evacuateMs: 5000, recoveryS: 12, iterationMs: 120,
  retryAfterS: 0, stall_ms: 1500, holdMaxMs: 20000, releaseMs: 4000, idleMaxMs: 9000}
configMode: "highest"
`
}

// metricsPorts are those of the commands in deploy/system.toml.
var metricsPorts = map[string]string{"entry": "9461", "control": "9462"}

// start starts one role on a machine, with the command of deploy/system.toml.
func (f *fleet) start(m *machine, role string, first bool) error {
	key := role + "@" + m.name
	file := filepath.Join(f.folder, key+".yaml")
	if err := os.WriteFile(file, []byte(f.settings(m, role, first)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.folder, "data"), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, key+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/apricotspoke-platform", role, "--metrics-port", metricsPorts[role])
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTSPOKE_NODE_FILE=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // the state is not needed: cases end processes by signals
		close(p.ended)
	}()
	f.mu.Lock()
	f.running[key] = p
	f.mu.Unlock()
	return nil
}

// startAll starts both roles on all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		for _, role := range []string{"control", "entry"} {
			if err := f.start(m, role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// signal sends a signal to one role of a machine.
func (f *fleet) signal(m *machine, role string, s syscall.Signal) error {
	f.mu.Lock()
	p := f.running[role+"@"+m.name]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no %s runs on %s", role, m.name)
	}
	return p.command.Process.Signal(s)
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	for _, p := range f.running {
		_ = p.command.Process.Signal(syscall.SIGCONT) // ended processes refuse it
		_ = p.command.Process.Kill()
	}
	running := f.running
	f.running = nil
	f.mu.Unlock()
	for _, p := range running {
		<-p.ended
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// ready reports whether the entry of a machine says that it is ready.
func (m *machine) isReady() bool {
	status, _ := call(http.MethodGet, "http://"+m.ready()+"/readyz", nil, time.Second)
	return status == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("the entry of %s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call makes one call on a new channel. Status 0 means that no answer came.
func call(method, url string, body []byte, within time.Duration) (int, string) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// order sends an operator's order as the pages describe: to one daemon after the other,
// a second each, until one acknowledges it. It returns when it was acknowledged.
func (f *fleet) order(method, path string, body []byte, targets []string, within time.Duration) (time.Time, error) {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		to := targets[i%len(targets)]
		status, text := call(method, "http://"+to+path, body, time.Second)
		f.record.add("operator: %s %s at %s: %d", method, path, to, status)
		if status/100 == 2 {
			return time.Now(), nil
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return time.Time{}, fmt.Errorf("%s %s was refused: %d %s", method, path, status, text)
		}
		time.Sleep(min(time.Duration(50+50*i)*time.Millisecond, 500*time.Millisecond))
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

// installFirst sends the first configuration until it is accepted.
func (f *fleet) installFirst(c configuration) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = f.order(http.MethodPut, "/configuration", text, f.controls(), 20*time.Second)
	return err
}

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), strings.TrimSpace(text))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
