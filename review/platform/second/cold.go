package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The cold start of case 9: the figures of proof-assistant at kbm-tbilisi.
const (
	coldStart     = 3 * time.Second // coldStartS
	coldPerSecond = 28              // coldPerS
	coldOverage   = 1.5
	coldTolerance = 5
	// coldBound is the most requests that a cold replica may get in one second.
	coldBound = coldPerSecond*coldOverage + coldTolerance
	// coldCrash is the number of requests in one second at which a cold replica crashes, well
	// above what it tolerates.
	coldCrash = 2.5 * coldPerSecond
	// lookUpsPerSecond is the traffic of all clients together.
	lookUpsPerSecond = 300
)

// coldReplica is a replica in a process of its own that writes down when it was sent requests.
type coldReplica struct {
	replica
	arrivals  *os.File
	leaving   atomic.Bool
	coldUntil atomic.Int64 // in Unix ns

	recentMu sync.Mutex
	recent   []time.Time // when the requests of the last second arrived
}

// countArrival counts a request and returns how many have arrived in the last second.
func (r *coldReplica) countArrival() int {
	r.recentMu.Lock()
	defer r.recentMu.Unlock()
	now := time.Now()
	r.recent = append(r.recent, now)
	for now.Sub(r.recent[0]) >= time.Second {
		r.recent = r.recent[1:]
	}
	return len(r.recent)
}

// runColdReplica starts a replica that is cold for coldStart. Its heartbeats of the first
// seconds arrive late by the given time. If it crashes, it does so while it is cold and gets
// more requests than coldCrash in a second.
func runColdReplica(listen, id, zone, controls, arrivals string, late time.Duration, crashes, always bool) error {
	file, err := os.OpenFile(arrivals, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	began := time.Now()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r := &coldReplica{replica: replica{id: id, service: "desk", address: listener.Addr().String(), zone: zone, slots: 16, born: began.UnixMilli()}, arrivals: file}
	r.coldUntil.Store(began.Add(coldStart).UnixNano())
	r.run = func(w http.ResponseWriter, q *http.Request) {
		fmt.Fprintf(r.arrivals, "%d\n", time.Now().UnixNano())
		if r.countArrival() > coldCrash && crashes && time.Since(began) < coldStart {
			fmt.Fprintf(r.arrivals, "crashed %d\n", time.Now().UnixNano())
			os.Exit(1)
		}
		lookUp(w, q)
	}
	go func() {
		for !r.leaving.Load() {
			r.sendBeat(strings.Split(controls, ","), time.Unix(0, r.coldUntil.Load()), latenessOf(began, late, always))
			time.Sleep(heartbeatsGap)
		}
	}()
	go r.coldOnSignal()
	go r.leaveOnSignal(strings.Split(controls, ","))
	server := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}

// sendBeat sends a heartbeat that arrives after a delay.
func (r *coldReplica) sendBeat(addresses []string, coldUntil time.Time, delay time.Duration) {
	r.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":%d,"sequence":%d,"born":%d}`,
		r.service, r.address, r.zone, r.slots, max(0, time.Until(coldUntil).Milliseconds()), r.sequence, r.born)
	go func() {
		time.Sleep(delay)
		for _, address := range addresses {
			if status, _ := call(time.Second, "PUT", "http://"+address+"/replicas/"+r.id, []byte(body), nil); status >= 200 && status < 300 {
				return
			}
		}
	}()
}

// restartCold plays case 9: a replica crashes and starts again under its id, cold, and its first
// heartbeats arrive late.
func restartCold(r *record, trouble bool, late time.Duration) (broken bool, err error) {
	f, addresses, err := startPlainFleet(r, 0)
	if err != nil {
		return false, err
	}
	defer f.close()
	clients := startLookUps(f, true)
	time.Sleep(4 * time.Second)
	if trouble {
		f.end("replica-0", syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := f.startColdReplica(0, addresses[0], late, true, false); err != nil {
			return false, err
		}
	}
	restarted := time.Now()
	time.Sleep(coldStart + 3*time.Second)
	asked, served := clients.end()
	most, from := mostInOneSecond(f.arrivals(0), restarted, restarted.Add(coldStart))
	r.note("check", "%d of %d requests of the clients were served, %d a second", served, asked, lookUpsPerSecond)
	for at := restarted; at.Before(restarted.Add(coldStart)); at = at.Add(100 * time.Millisecond) {
		r.note("replica 0", "%d requests arrived in the 100 ms from %d ms on", countBetween(f.arrivals(0), at, at.Add(100*time.Millisecond)), at.Sub(restarted).Milliseconds())
	}
	r.note("check", "%d orders, which may run once at most, ended with 502 after the restart; the replica crashed again: %v",
		clients.lostOrders(restarted), !f.timeAfter(0, "crashed ").IsZero())
	if !trouble {
		r.note("check", "replica 0, which is not cold, got %d requests in one second", most)
		return false, nil
	}
	r.note("check", "replica 0 got %d requests in the second from %d ms after its restart on; while it is cold, %.0f are allowed",
		most, from.Sub(restarted).Milliseconds(), float64(coldBound))
	return float64(most) > coldBound, nil
}

// startPlainFleet starts three control processes, two entries and three replicas in processes of
// their own, whose heartbeats are always late by the given time, and waits until none of them is
// cold any more.
func startPlainFleet(r *record, late time.Duration) (f *fleet, addresses []string, err error) {
	if f, err = newFleet(r); err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	for n := 1; n <= 3; n++ {
		if err := f.start("control", n, true); err != nil {
			return nil, nil, err
		}
	}
	for _, n := range []int{11, 12} {
		if err := f.start("entry", n, true); err != nil {
			return nil, nil, err
		}
	}
	for i := range 3 {
		listener, err := net.Listen("tcp", f.host(100+i)+":0")
		if err != nil {
			return nil, nil, err
		}
		addresses = append(addresses, listener.Addr().String())
		_ = listener.Close() // the replica listens there
	}
	for i, address := range addresses {
		if err := f.startColdReplica(i, address, late, false, late > 0); err != nil {
			return nil, nil, err
		}
	}
	text := strings.Replace(configuration(5), `"routes":[`, `"routes":[{"name":"r-order","hostname":"desk.example","pathPrefix":"/order/","routeType":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"public":false},`, 1)
	text = strings.Replace(text, `"coldStartS":0.0,"coldPerS":0.0`, fmt.Sprintf(`"coldStartS":%.1f,"coldPerS":%d.0`, coldStart.Seconds(), coldPerSecond), 1)
	if _, err := (operator{f}).put(30*time.Second, 5, text, 1, 2, 3); err != nil {
		return nil, nil, err
	}
	for _, n := range []int{11, 12} {
		if err := await(30*time.Second, "the entries are ready", func() bool {
			status, _ := call(time.Second, "GET", "http://"+f.readyAddress(n)+"/readyz", nil, nil)
			return status == 200
		}); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(6 * time.Second)
	return f, addresses, nil
}

// manyLookUps are clients that send lookUpsPerSecond idempotent requests to the entries in turn.
// With orders, every second request is one that may run once at most.
type manyLookUps struct {
	fleet  *fleet
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu            sync.Mutex
	asked, served int
	lost          []time.Time // when orders were answered with 502
}

func startLookUps(f *fleet, orders bool) *manyLookUps {
	ctx, cancel := context.WithCancel(context.Background())
	m := &manyLookUps{fleet: f, cancel: cancel}
	m.work.Go(func() {
		tick := time.NewTicker(time.Second / lookUpsPerSecond)
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-tick.C
			route := "lookup"
			if orders && i/2%2 == 1 {
				route = "order"
			}
			m.work.Go(func() { m.ask(11+i%2, route, fmt.Sprintf("%s-%d", route, i)) })
		}
	})
	return m
}

func (m *manyLookUps) ask(entry int, route, id string) {
	status, _ := call(1500*time.Millisecond, "GET", "http://"+m.fleet.callerAddress(entry)+"/"+route+"/"+id, nil, map[string]string{
		"Host": "desk.example", "Attempt-Id": id, "Deadline-Ms": "1500", "X-Api-Key": "key-of-boots",
	})
	if status != 200 {
		m.fleet.record.note("client", "%s, sent to entry %d: %d", id, entry, status)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	if status == 200 {
		m.served++
	}
	if route == "order" && status == http.StatusBadGateway {
		m.lost = append(m.lost, time.Now())
	}
}

// lostOrders counts the orders that were answered with 502 after a time.
func (m *manyLookUps) lostOrders(from time.Time) int {
	return countBetween(m.lost, from, time.Now())
}

// end ends the clients and returns how many requests were sent and served.
func (m *manyLookUps) end() (asked, served int) {
	m.cancel()
	m.work.Wait()
	return m.asked, m.served
}

// arrivals returns the times at which a replica was sent requests.
func (f *fleet) arrivals(i int) (times []time.Time) {
	file, err := os.Open(f.arrivalsFile(i))
	if err != nil {
		return nil
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if nanos, err := strconv.ParseInt(lines.Text(), 10, 64); err == nil {
			times = append(times, time.Unix(0, nanos))
		}
	}
	return times
}

func (f *fleet) arrivalsFile(i int) string {
	return filepath.Join(f.folder, fmt.Sprintf("arrivals-%d", i))
}

// countBetween counts the times between two times.
func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// mostInOneSecond returns the largest number of times within one second between two times, and
// when that second began.
func mostInOneSecond(times []time.Time, from, to time.Time) (most int, at time.Time) {
	for i, first := range times {
		if first.Before(from) || first.Add(time.Second).After(to) {
			continue
		}
		n := 0
		for _, t := range times[i:] {
			if t.Sub(first) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first
		}
	}
	return most, at
}
