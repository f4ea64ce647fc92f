package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// The program under test, with the arguments of deploy/system.toml.
const program = "target/apricotspoke-platform"

var programArguments = map[string][]string{
	"entry":   {"entry", "--metrics-port", "9461"},
	"control": {"control", "--metrics-port", "9462"},
}

// The bounds of the deployment kbm-tbilisi that the cases use.
const (
	catchUp       = 4 * time.Second  // catchUpS
	grace         = 8 * time.Second  // graceS
	recovery      = 12 * time.Second // recoveryS
	heartbeatsGap = 1200 * time.Millisecond
)

// fleet plays the platform: it writes the settings of the processes, starts them, sends them
// signals and keeps the folders that stand for their disks.
type fleet struct {
	folder  string // temporary
	network string // first three bytes of the hosts' loopback addresses
	ports   [5]int // frontend, ready, controlPlane, first and last of internalPorts
	record  *record

	mu      sync.Mutex
	running map[string]*exec.Cmd
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	first, err := loopback.ReservePorts(5)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		folder: folder, network: loopback.UnusedNetwork(), record: r, running: make(map[string]*exec.Cmd),
		ports: [5]int{first, first + 1, first + 2, first + 3, first + 4},
	}
	onInterrupt(f.close)
	return f, nil
}

// close ends all processes that this fleet started and removes its folder.
func (f *fleet) close() {
	f.mu.Lock()
	names := make([]string, 0, len(f.running))
	for name := range f.running {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.end(name, syscall.SIGKILL)
	}
	_ = os.RemoveAll(f.folder)
}

// host returns the address of a machine. Machines 1 to 9 serve control, 11 to 19 take callers'
// requests.
func (f *fleet) host(n int) string { return fmt.Sprintf("%s.%d", f.network, n) }

func (f *fleet) callerAddress(n int) string  { return fmt.Sprintf("%s:%d", f.host(n), f.ports[0]) }
func (f *fleet) readyAddress(n int) string   { return fmt.Sprintf("%s:%d", f.host(n), f.ports[1]) }
func (f *fleet) controlAddress(n int) string { return fmt.Sprintf("%s:%d", f.host(n), f.ports[2]) }

func processName(role string, n int) string { return fmt.Sprintf("%s-%d", role, n) }

// zoneOf spreads the machines over three zones.
func zoneOf(n int) string { return []string{"vake", "saburtalo", "didube"}[(n-1)%3] }

// dataFolder is the folder that stands for the disk of a machine that serves control.
func (f *fleet) dataFolder(n int) string { return filepath.Join(f.folder, fmt.Sprintf("disk-%d", n)) }

// start starts the process of a role on a machine. bootstrap is true only for the first start
// of the whole system.
func (f *fleet) start(role string, n int, bootstrap bool) error {
	name := processName(role, n)
	file := filepath.Join(f.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(f.settings(role, n, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, programArguments[role]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTSPOKE_NODE_FILE=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.running[name] = command
	f.mu.Unlock()
	f.record.note("platform", "started %s at %s, bootstrap %v", name, f.host(n), bootstrap)
	return nil
}

// end sends a signal to a process and waits until it has ended, graceS at most; then it is
// killed.
func (f *fleet) end(name string, signal syscall.Signal) {
	f.mu.Lock()
	command := f.running[name]
	delete(f.running, name)
	f.mu.Unlock()
	if command == nil {
		return
	}
	began := time.Now()
	_ = command.Process.Signal(signal) // it may have ended
	kill := time.AfterFunc(grace, func() { _ = command.Process.Kill() })
	_ = command.Wait() // its status doesn't matter
	kill.Stop()
	f.record.note("platform", "sent %v to %s, which ended after %d ms", signal, name, time.Since(began).Milliseconds())
}

// wipe empties the disk of a machine whose process has ended.
func (f *fleet) wipe(n int) error {
	f.record.note("platform", "the disk of machine %d is lost", n)
	return os.RemoveAll(f.dataFolder(n))
}

// settings returns the settings file of a process, in the format of DEPLOY.md.
func (f *fleet) settings(role string, n int, bootstrap bool) string {
	serves, dataDir := "edge", "null"
	if role == "control" {
		serves, dataDir = "control", fmt.Sprintf("%q", f.dataFolder(n))
	}
	return fmt.Sprintf(`nodeName: "edge-%[1]d"
role: %[2]q
machineClass: "edge"
serves: [%[3]q]
ip: %[4]q
zone: %[5]q
region: "tbilisi"
zones: {vake: "tbilisi", saburtalo: "tbilisi", didube: "tbilisi"}
listen: {frontend: %[6]q, ready: %[7]q, controlPlane: %[8]q}
internalPorts: [%[9]d, %[10]d]
seedNodes: [%[11]q, %[12]q, %[13]q]
bootstrap: %[14]v
lossCounts: %[15]v
limits: {cpuFraction: 0.72, cpuCores: 1, memoryMb: 284, maxFds: 4100, bandwidthMbps: 1000.0, diskMb: 64}
dataDir: %[16]s
discovery: "registration"
entryPoint: "vip"
heartbeatMs: %[17]d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "spans"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevocation: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 112, coldOverage: 1.5, coldTolerance: 5, evacuateMs: 5000, recoveryS: 12, iterationMs: 120, retryAfterS: 0, stall_ms: 1500, holdMaxMs: 20000, releaseMs: 4000, idleMaxMs: 9000}
configMode: "highest"
`, n, role, serves, f.host(n), zoneOf(n), f.callerAddress(n), f.readyAddress(n), f.controlAddress(n), f.ports[3], f.ports[4],
		f.controlAddress(1), f.controlAddress(2), f.controlAddress(3), bootstrap, role == "control", dataDir, heartbeatsGap.Milliseconds())
}

var errTimedOut = errors.New("timed out")

// await waits until a condition holds.
func await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errTimedOut, what)
}
