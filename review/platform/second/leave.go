package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	drain  = 2 * time.Second // drainMs
	linger = 4 * time.Second // how much longer a leaving replica serves
)

// leaveOnSignal leaves when this process gets SIGTERM, as replicas do that never report
// draining: it sends DELETE, serves on for drainMs after the acknowledgement and a little
// longer, and exits.
func (r *coldReplica) leaveOnSignal(addresses []string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	r.leaving.Store(true) // sends no further heartbeats; those on their way arrive
	for i := 0; ; i++ {
		status, _ := call(time.Second, "DELETE", "http://"+addresses[i%len(addresses)]+"/replicas/"+r.id, nil, nil)
		if status >= 200 && status < 300 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Fprintf(r.arrivals, "acknowledged %d\n", time.Now().UnixNano())
	time.Sleep(drain + linger)
	os.Exit(0)
}

// leaveAfterRestart plays case 8: a replica crashes and starts again under its id, its first
// heartbeats arrive late, and it leaves before they have arrived.
func leaveAfterRestart(r *record, crash bool, late time.Duration) (broken bool, err error) {
	f, addresses, err := startPlainFleet(r, 0)
	if err != nil {
		return false, err
	}
	defer f.close()
	clients := startLookUps(f, false)
	time.Sleep(4 * time.Second)
	if crash {
		f.end("replica-0", syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := f.startColdReplica(0, addresses[0], late, false, false); err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	go f.end("replica-0", syscall.SIGTERM)
	time.Sleep(drain + linger + 2*time.Second)
	asked, served := clients.end()
	acknowledged := f.timeAfter(0, "acknowledged ")
	if acknowledged.IsZero() {
		return false, fmt.Errorf("the leave was not acknowledged")
	}
	r.note("replica 0", "its leave was acknowledged at %.3f s", acknowledged.Sub(r.began).Seconds())
	var last time.Time
	for at := acknowledged.Add(-time.Second); at.Before(acknowledged.Add(drain + linger)); at = at.Add(250 * time.Millisecond) {
		n := countBetween(f.arrivals(0), at, at.Add(250*time.Millisecond))
		r.note("replica 0", "%d requests arrived in the 250 ms from %d ms after the acknowledgement on", n, at.Sub(acknowledged).Milliseconds())
	}
	for _, t := range f.arrivals(0) {
		last = t
	}
	after := countBetween(f.arrivals(0), acknowledged.Add(drain), acknowledged.Add(time.Minute))
	r.note("check", "%d of %d requests of the clients were served", served, asked)
	r.note("check", "%d requests reached replica 0 later than drainMs after its leave was acknowledged, the last one %d ms after it", after, last.Sub(acknowledged).Milliseconds())
	return after > 0, nil
}

// timeAfter returns the time that a replica wrote down after a word, the zero time if it did not.
func (f *fleet) timeAfter(i int, word string) time.Time {
	file, err := os.Open(f.arrivalsFile(i))
	if err != nil {
		return time.Time{}
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), word); found {
			if nanos, err := strconv.ParseInt(text, 10, 64); err == nil {
				return time.Unix(0, nanos)
			}
		}
	}
	return time.Time{}
}
