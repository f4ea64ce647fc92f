package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// leaveLost: a replica says that it is gone. The machine that acknowledges it loses power
// right afterwards. The replica serves for drainMs and two seconds more, as the pages let
// it, and requests must not reach it later than drainMs after the acknowledgement.
func leaveLost(f *fleet, r *record, trouble bool) (bool, error) {
	replicas, err := f.startDesk(service{Name: "huvo11a", MaxConnections: 130}, []string{"vake", "saburtalo", "didube"})
	if err != nil {
		return false, err
	}
	defer stopReplicas(replicas)
	// Clients use the machines of the core, which nothing happens to.
	c := &clients{record: r, entries: f.core(), method: http.MethodPost, prefix: "/stitch/", rate: 30, limit: 1500 * time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.run(ctx, 12); close(done) }()
	defer func() { stop(); <-done }()
	time.Sleep(3 * time.Second)

	leaving, lost := replicas[0], f.machines[1] // the second machine of the same zone, without a disk
	leaving.stopBeats()
	time.Sleep(200 * time.Millisecond) // no heartbeat is under way
	leaving.draining.Store(true)
	status, _ := call(http.MethodDelete, "http://"+lost.controlPlane()+"/replicas/"+leaving.id, nil, time.Second)
	acknowledged := time.Now()
	if status/100 != 2 {
		return false, errNotAcknowledged
	}
	if trouble {
		if err := f.signalMachine(lost, syscall.SIGKILL); err != nil {
			return false, err
		}
		r.say("%s was killed %.1f ms after it had acknowledged", lost.name, float64(time.Since(acknowledged).Microseconds())/1000)
	}
	drained := acknowledged.Add(drainMs * time.Millisecond)
	exit := drained.Add(2 * time.Second)
	time.Sleep(time.Until(exit))
	_ = leaving.server.Close()
	early, late := leaving.between(acknowledged, drained), leaving.between(drained, exit)
	for _, a := range late {
		r.add("late: attempt %s reached %s %.3f s after the acknowledgement", a.id, leaving.id, a.at.Sub(acknowledged).Seconds())
	}
	time.Sleep(2 * time.Second)
	stop()
	<-done
	r.say("%s said at %s that it is gone: %d requests reached it within drainMs afterwards, %d later than that", leaving.id, lost.name, len(early), len(late))
	r.say("what clients got: %v", c.counts())
	return len(late) > 0, nil
}
