package cluster

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the kernel's processor times.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used since it started, read from the kernel.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes uint64 // resident bytes now
	ReadBytes     uint64 // bytes read by system calls, sockets included
	WrittenBytes  uint64 // bytes written by system calls, sockets included
}

// Usage reads what the running process has used.
func (p *Process) Usage() (Usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return Usage{}, fmt.Errorf("%s does not run", p.Name)
	}
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	processor, err := readProcessor(folder + "stat")
	memory, err2 := readField(folder+"status", "VmRSS:")
	read, err3 := readField(folder+"io", "rchar:")
	written, err4 := readField(folder+"io", "wchar:")
	usage := Usage{CPUTime: processor, ResidentBytes: memory << 10, ReadBytes: read, WrittenBytes: written}
	return usage, errors.Join(err, err2, err3, err4)
}

func readProcessor(path string) (time.Duration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("%s is too short", path)
	}
	user, err := strconv.ParseUint(fields[11], 10, 64)
	system, err2 := strconv.ParseUint(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, errors.Join(err, err2)
}

// readField returns the number behind a name in a file of names and numbers.
func readField(path, name string) (uint64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("%s has no %s", path, name)
}
