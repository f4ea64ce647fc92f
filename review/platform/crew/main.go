// Command crew plays the scripts of review/11 to review/15: it starts the project's own
// processes on loopback with stand-ins for the platform, the replicas, the operator and the
// clients, causes one trouble, and judges what they saw by one rule.
//
//	crew CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the trouble.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// play is one play of a case.
type play struct {
	fleet   *fleet
	record  *record
	trouble bool
}

// The exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by their names. Each returns whether the rule was broken.
var cases = map[string]func(*play) (bool, error){}

func main() { os.Exit(playCase()) }

func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: crew CASE RECORD")
		return unable
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer r.file.Close()
	f, err := newFleet(r)
	if err != nil {
		r.add("the case can't run: %v", err)
		return unable
	}
	defer f.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.stop()
		os.Exit(unable)
	}()
	p := &play{fleet: f, record: r, trouble: os.Getenv("TROUBLE") != "0"}
	isBroken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		r.add("the case can't run: %v", err)
		return unable
	case isBroken:
		r.add("the rule was broken")
		return broken
	}
	r.add("the rule held")
	return held
}

// record is the file in which a play writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// begin starts the fleet with a replica of each named service in each zone, as often as the
// service is named.
func (p *play) begin(first string, services []string) ([]*replica, error) {
	var replicas []*replica
	for _, service := range services {
		for host := 1; host <= hosts; host++ {
			r, err := newReplica(p.fleet, service, host)
			if err != nil {
				return nil, err
			}
			replicas = append(replicas, r)
		}
	}
	return replicas, p.fleet.startAll(first)
}
