// Package cluster runs the programs of apricotspoke as real processes on
// loopback, for the demonstration and for trials.
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

// BinVariable names the environment variable with the folder of the programs.
const BinVariable = "APRICOTSPOKE_BIN"

const defaultBin = "bin"

// Process is one program that can be started again after it has ended.
type Process struct {
	Name    string
	program string
	args    []string
	env     []string
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed when cmd has ended
	result error         // of cmd, once ended
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

// Bin is the folder of the programs: APRICOTSPOKE_BIN, or bin/ in the module.
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

// Start starts the program; its output is added to its log file.
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
	if err := startOnLivingThread(cmd); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.cmd = cmd
	p.ended = make(chan struct{})
	go p.await(cmd, p.ended)
	return nil
}

func (p *Process) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.result = err
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

// Suspend stops the process in its tracks until Wake.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done()
	return nil
}

// Shutdown asks the process to end and returns how it ended. One that goes on
// for longer than the limit is killed, which is an error.
func (p *Process) Shutdown(limit time.Duration) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done():
	case <-time.After(limit):
		return errors.Join(fmt.Errorf("%s did not end within %s", p.Name, limit), p.Kill())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.result
}

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// PeakMemoryBytes is the largest resident memory of the process so far, in bytes.
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
	return 0, errors.New("no peak memory in the process status")
}

// LogTail returns the last bytes of the process's log.
func (p *Process) LogTail(limit int) string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-limit):])
}
