package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// quorumVariant says which of the two disruptions of case 6 take place.
type quorumVariant struct {
	replace, loseDisk bool
	wait              time.Duration // from the end of the removed machine's process to the change that is acknowledged
}

// lostQuorum plays case 6: a machine that serves control is replaced as planned, the new one
// first, and then the machine that has just acknowledged a configuration loses its disk.
func lostQuorum(r *record, v quorumVariant) (broken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	machines := []int{1, 2, 3}
	for _, n := range machines {
		if err := f.start("control", n, true); err != nil {
			return false, err
		}
	}
	for _, n := range []int{11, 12} {
		if err := f.start("entry", n, true); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	var mu sync.Mutex
	list := func() []int {
		mu.Lock()
		defer mu.Unlock()
		return append([]int(nil), machines...)
	}
	for i, zone := range []string{"vake", "saburtalo", "didube"} {
		app, stop, err := newReplica(f, fmt.Sprintf("i-desk%d", i+1), "desk", zone, lookUp)
		if err != nil {
			return false, err
		}
		defer stop()
		background.Go(func() { app.announce(ctx, list) })
	}
	o := operator{f}
	if _, err := o.put(30*time.Second, 5, configuration(5), 1, 2, 3); err != nil {
		return false, err
	}
	for _, n := range []int{11, 12} {
		if err := await(30*time.Second, "the entries are ready", func() bool {
			status, _ := call(time.Second, "GET", "http://"+f.readyAddress(n)+"/readyz", nil, nil)
			return status == 200
		}); err != nil {
			return false, err
		}
	}
	clients := newTally()
	background.Go(func() { lookUps(ctx, f, clients, 11, 12) })
	time.Sleep(3 * time.Second)
	if v.replace {
		// The successor first, with an empty disk at another address; twice catchUpS later the
		// old machine gets SIGTERM and never comes back.
		if err := f.start("control", 4, false); err != nil {
			return false, err
		}
		time.Sleep(2 * catchUp)
		mu.Lock()
		machines = []int{1, 2, 4}
		mu.Unlock()
		f.end(processName("control", 3), syscall.SIGTERM)
		r.note("platform", "machine 3 is removed for good")
	}
	time.Sleep(v.wait)
	before := int(time.Since(r.began).Seconds())
	acknowledgedBy, err := o.put(10*time.Second, 6, configuration(6), 1, 2)
	if err != nil {
		return false, err
	}
	if v.loseDisk {
		f.end(processName("control", acknowledgedBy), syscall.SIGKILL)
		if err := f.wipe(acknowledgedBy); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		if err := f.start("control", acknowledgedBy, false); err != nil {
			return false, err
		}
	}
	// All machines run from here on. recoveryS later the rules of recovery hold.
	time.Sleep(recovery)
	from := int(time.Since(r.began).Seconds()) + 1
	read := 0
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(500 * time.Millisecond) {
		for _, n := range list() {
			if status, text := o.get(n); status == 200 && text == configuration(6) {
				read++
			}
		}
	}
	to := int(time.Since(r.began).Seconds())
	time.Sleep(2 * time.Second) // for the answers of the last requests
	askedBefore, servedBefore := clients.between(before-3, before)
	asked, served := clients.between(from, to)
	r.note("check", "before the loss of the disk %d of %d requests were served", servedBefore, askedBefore)
	r.note("check", "later than recoveryS after all machines ran: %d of %d requests served, the acknowledged configuration read back %d times", served, asked, read)
	if askedBefore == 0 || servedBefore*4 < askedBefore || asked == 0 {
		return false, fmt.Errorf("%d of %d requests were served before the loss of the disk", servedBefore, askedBefore)
	}
	return served*4 < asked || read == 0, nil
}

// lookUp answers an idempotent request.
func lookUp(w http.ResponseWriter, q *http.Request) {
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "looked up "+q.Header.Get("Attempt-Id")) // the caller may have left
}
