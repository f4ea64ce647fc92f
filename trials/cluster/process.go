// Package cluster runs a fleet as real processes on loopback, for the demonstration and
// for fault tests: control replicas (the replicated control plane), entries (the HTTP
// servers that callers send requests to), and fake endpoints, each with its agent (the
// process that admits requests to the endpoint).
package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// BinVariable is the name of the environment variable with the folder of the programs.
const BinVariable = "APRICOTSPOKE_BIN"

const defaultBin = "bin"

// Process is a program with its arguments. It can be started again after it has ended.
type Process struct {
	Name    string
	program string
	args    []string
	env     []string
	logPath string

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{} // closed after cmd has ended
	exitError error         // of cmd, set before ended is closed
}

func newProcess(folder, name, program string, env []string, args ...string) *Process {
	return &Process{
		Name:    name,
		program: program,
		args:    args,
		env:     env,
		logPath: filepath.Join(folder, name+".log"),
	}
}

// Bin returns the folder of the programs: APRICOTSPOKE_BIN, or bin/ in the root of the
// module.
func Bin() string {
	if folder := os.Getenv(BinVariable); folder != "" {
		return folder
	}
	folder, err := os.Getwd()
	if err != nil {
		return defaultBin
	}
	for parent := folder; ; parent = filepath.Dir(parent) {
		if _, err := os.Stat(filepath.Join(parent, "go.mod")); err == nil {
			return filepath.Join(parent, defaultBin)
		}
		if parent == filepath.Dir(parent) {
			return defaultBin
		}
	}
}

// Start starts the program and appends its output to its log file. The kernel kills the
// program when this process ends.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(Bin(), p.program), p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnPersistentThread(cmd); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.cmd = cmd
	p.ended = make(chan struct{})
	go p.waitForExit(cmd, p.ended)
	return nil
}

func (p *Process) waitForExit(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.exitError = err
	p.mu.Unlock()
	close(ended)
}

// Running reports whether the process has been started and not yet ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was not started", p.Name)
	}
	return p.cmd.Process.Signal(signal)
}

// Suspend stops the process with SIGSTOP until Resume.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for its end. A process that is not running is no error.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.endedChannel()
	return nil
}

// Shutdown sends SIGTERM to the process and returns its exit error. If it is still
// running after the limit, Shutdown kills it and returns an error.
func (p *Process) Shutdown(limit time.Duration) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.endedChannel():
	case <-time.After(limit):
		return errors.Join(fmt.Errorf("%s did not end within %s", p.Name, limit), p.Kill())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitError
}

func (p *Process) endedChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// PeakMemoryBytes returns the largest resident memory of the process so far.
func (p *Process) PeakMemoryBytes() (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kilobytes << 10, err
	}
	return 0, errors.New("the process status has no VmHWM line")
}

// LogTail returns the last bytes of the process's log, limit at most, or the text of the
// error if the log can't be read.
func (p *Process) LogTail(limit int) string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-limit):])
}
