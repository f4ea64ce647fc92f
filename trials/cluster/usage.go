package cluster

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is the use of resources by a process since its start, as /proc reports it.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes uint64 // resident memory now
	ReadBytes     uint64 // read by system calls, sockets included
	WrittenBytes  uint64 // written by system calls, sockets included
}

// Usage returns the use of resources by the running process.
func (p *Process) Usage() (Usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return Usage{}, fmt.Errorf("%s is not running", p.Name)
	}
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	processor, err := readCPUTime(folder + "stat")
	memory, err2 := readField(folder+"status", "VmRSS:")
	read, err3 := readField(folder+"io", "rchar:")
	written, err4 := readField(folder+"io", "wchar:")
	usage := Usage{CPUTime: processor, ResidentBytes: memory << 10, ReadBytes: read, WrittenBytes: written}
	return usage, errors.Join(err, err2, err3, err4)
}

// readCPUTime returns the user and system time in a /proc/PID/stat file. The second field
// is the command name in parentheses. Among the fields after it, utime has the index 11 and
// stime the index 12; both are in clock ticks.
func readCPUTime(path string) (time.Duration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("%s has too few fields", path)
	}
	user, err := strconv.ParseUint(fields[11], 10, 64)
	system, err2 := strconv.ParseUint(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, errors.Join(err, err2)
}

// readField returns the number after a name in a file with one name and number per line.
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
