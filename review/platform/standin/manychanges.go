package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	recovery = 12 * time.Second // recoveryS
	// The configuration has this many routes; its text stays below maxBodyBytes.
	manyRoutes = 14000
	// So many versions of it are acknowledged, within the time.
	manyVersions  = 600
	versionsLast  = 72 * time.Second
	ordersAtOnce  = 6 // of the eight that the pages allow
	downFor       = 1500 * time.Millisecond
	observedAfter = recovery + 4*time.Second
)

// manyChanges: a large configuration is changed several hundred times. Then all processes
// are killed at the same moment and are back 1.5 s later, with their disks. The operator
// must be able to read the configuration back, and requests must be served again.
func manyChanges(f *fleet, r *record, trouble bool) (bool, error) {
	desk := service{Name: "huvo11a", MaxConnections: 130}
	replicas, err := f.startDesk(desk, []string{"vake", "saburtalo", "didube"})
	if err != nil {
		return false, err
	}
	defer stopReplicas(replicas)
	c := &clients{record: r, entries: f.machines, method: http.MethodGet, prefix: "/lookup/", rate: 20, limit: 1500 * time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.run(ctx, 18); close(done) }()
	defer func() { stop(); <-done }()

	newest := f.changeOften(deskConfiguration(7, desk))
	before := c.served(time.Now().Add(-5*time.Second), time.Now())
	if trouble {
		for _, m := range f.machines {
			if err := f.signalMachine(m, syscall.SIGKILL); err != nil {
				return false, err
			}
		}
		r.say("all processes are killed")
		time.Sleep(downFor)
		for _, m := range f.machines {
			for _, role := range []string{"control", "entry"} {
				if err := f.start(m, role, false); err != nil {
					return false, err
				}
			}
		}
	}
	back := time.Now()
	readAfter := f.readBack(back, newest)
	time.Sleep(time.Until(back.Add(observedAfter)))
	stop()
	<-done
	r.say("served before: %s; of those sent later than recoveryS after the machines were back: %s", before, c.served(back.Add(recovery), time.Now()))
	if readAfter == 0 {
		r.say("no read of the configuration was answered within %v after the machines were back", observedAfter)
	} else {
		r.say("version %d was read back %.1f s after the machines were back", newest, readAfter.Seconds())
	}
	return readAfter == 0 || readAfter > recovery, nil
}

// changeOften sends versions of a large configuration, several at once, each until it is
// acknowledged. It returns the newest one that was.
func (f *fleet) changeOften(c configuration) int64 {
	for n := range manyRoutes {
		c.Routes = append(c.Routes, route{
			Name: fmt.Sprintf("r-%05d", n), Hostname: hostname, PathPrefix: fmt.Sprintf("/club%05d/", n), RouteType: "idempotent",
			TimeoutMs: 800, TargetLatencyMs: 300, Priority: 2, Service: c.Services[0].Name, MaxAttempts: 2,
		})
	}
	var next, newest, acknowledged atomic.Int64
	next.Store(int64(c.Version))
	until := time.Now().Add(versionsLast)
	var work sync.WaitGroup
	for k := range ordersAtOnce {
		work.Go(func() {
			own := c
			targets := f.controls()
			targets = append(targets[k:], targets[:k]...)
			for acknowledged.Load() < manyVersions && time.Now().Before(until) {
				own.Version = int(next.Add(1))
				text, err := json.Marshal(own)
				if err != nil {
					panic(err) // can't happen: the fields marshal
				}
				if status := putLarge(targets, text); status != http.StatusOK {
					f.record.add("operator: version %d: %d", own.Version, status)
					continue
				}
				acknowledged.Add(1)
				for v := newest.Load(); v < int64(own.Version) && !newest.CompareAndSwap(v, int64(own.Version)); v = newest.Load() {
				}
			}
		})
	}
	work.Wait()
	f.record.say("%d versions were acknowledged, the newest is %d", acknowledged.Load(), newest.Load())
	return newest.Load()
}

// putLarge sends a configuration to one daemon after the other until one acknowledges it.
// A large body may take more than a second.
func putLarge(targets []string, text []byte) (status int) {
	for _, to := range targets {
		if status, _ = call(http.MethodPut, "http://"+to+"/configuration", text, 5*time.Second); status == http.StatusOK {
			return status
		}
	}
	return status
}

// readBack reads the configuration at one daemon after the other until one answers with the
// newest version. It returns how long after the given time that was, 0 if it didn't come.
func (f *fleet) readBack(back time.Time, newest int64) time.Duration {
	targets := f.controls()
	for n := 0; time.Since(back) < observedAfter; n++ {
		to := targets[n%len(targets)]
		status, text := call(http.MethodGet, "http://"+to+"/configuration", nil, 2*time.Second)
		var got configuration
		if status == http.StatusOK && json.Unmarshal([]byte(text), &got) == nil {
			f.record.add("operator: read at %s: version %d", to, got.Version)
			if int64(got.Version) >= newest {
				return time.Since(back)
			}
		}
		f.record.add("operator: read at %s: %d", to, status)
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// served tells how many of the requests that were sent in a span of time got a success.
func (c *clients) served(from, to time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	good, all := 0, 0
	for _, o := range c.outcomes {
		if o.sentAt.After(from) && o.sentAt.Before(to) {
			all++
			if o.status == http.StatusOK {
				good++
			}
		}
	}
	return fmt.Sprintf("%d of %d", good, all)
}
