package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// coldOnSignal makes the replica cold whenever this process gets SIGUSR1, as replicas may become
// at any moment. The next heartbeat says so.
func (r *coldReplica) coldOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	for range signals {
		r.coldUntil.Store(time.Now().Add(coldStart).UnixNano())
	}
}

// takeBackCold tries the entry TestEndpointOfAReturnedDataCentreIsTakenAsColdUntilItIsHeard of
// KNOWN-RED.txt: a zone is emptied, its replica becomes cold, the zone is taken back, and
// heartbeats of the replica arrive that were sent before.
func takeBackCold(r *record, late time.Duration) (broken bool, err error) {
	f, _, err := startPlainFleet(r, late)
	if err != nil {
		return false, err
	}
	defer f.close()
	clients := startLookUps(f, false)
	time.Sleep(3 * time.Second)
	if err := f.drain("POST"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	f.mu.Lock()
	process := f.running["replica-0"].Process
	f.mu.Unlock()
	if err := process.Signal(syscall.SIGUSR1); err != nil {
		return false, err
	}
	cold := time.Now()
	time.Sleep(100 * time.Millisecond)
	if err := f.drain("DELETE"); err != nil {
		return false, err
	}
	time.Sleep(coldStart + time.Second)
	asked, served := clients.end()
	most, from := mostInOneSecond(f.arrivals(0), cold, cold.Add(coldStart))
	r.note("check", "%d of %d requests of the clients were served", served, asked)
	r.note("check", "replica 0 got %d requests in the second from %d ms after it became cold on; while it is cold, %.0f are allowed",
		most, from.Sub(cold).Milliseconds(), float64(coldBound))
	return float64(most) > coldBound, nil
}

// drain empties the zone of replica 0, or takes it back.
func (f *fleet) drain(method string) error {
	return await(5*time.Second, "an acknowledgement of the evacuation", func() bool {
		status, _ := call(time.Second, method, "http://"+f.controlAddress(2)+"/drain/"+zoneOf(1), nil, nil)
		f.record.note("operator", "%s /drain/%s: %d", method, zoneOf(1), status)
		return status == 200
	})
}

// latenessOf says how late a heartbeat arrives: in the first seconds of a start, or always.
func latenessOf(began time.Time, late time.Duration, always bool) time.Duration {
	if always || time.Since(began) <= late {
		return late
	}
	return 0
}

// alwaysLate is the flag for replicas whose heartbeats are always late.
func alwaysLate(always bool) string { return fmt.Sprintf("-always-late=%v", always) }
