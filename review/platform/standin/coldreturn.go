package main

import (
	"context"
	"net/http"
	"time"
)

// The smallest coldPerS of the pages' deployments, and the bounds of the rule.
const (
	coldPerS      = 15
	coldOverage   = 1.5
	coldTolerance = 5
	coldLasts     = 3 * time.Second
	// crashPerS is a rate well above coldPerS, at which a cold replica crashes.
	crashPerS = 40
)

// coldReturn: a zone is emptied and taken back. Its replica has become cold shortly before
// it is taken back, says so in its health answers at once and in its next heartbeat, and
// must not get more than coldPerS x coldOverage + coldTolerance requests in one second.
func coldReturn(f *fleet, r *record, trouble bool) (bool, error) {
	desk := service{Name: "huvo11a", MaxConnections: 130, ColdStartS: coldLasts.Seconds(), ColdPerS: coldPerS}
	replicas, err := f.startDesk(desk, []string{"vake", "saburtalo"})
	if err != nil {
		return false, err
	}
	defer stopReplicas(replicas)
	c := &clients{record: r, entries: f.machines, method: http.MethodPost, prefix: "/stitch/", rate: 90, limit: 1500 * time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.run(ctx, 90); close(done) }()
	defer func() { stop(); <-done }()
	time.Sleep(3 * time.Second)
	back := replicas[1]
	if _, err := f.order(http.MethodPost, "/drain/"+back.zone, nil, f.controls(), 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	// It becomes cold between two heartbeats, which come every 1.2 s.
	for beat := back.beatAt.Load(); back.beatAt.Load() == beat; {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	from := time.Now()
	if trouble {
		back.coldUntil.Store(from.Add(coldLasts).UnixMilli())
		r.say("%s has become cold for %v", back.id, coldLasts)
	}
	time.Sleep(100 * time.Millisecond)
	if _, err := f.order(http.MethodDelete, "/drain/"+back.zone, nil, f.controls(), 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(from.Add(coldLasts)))
	most := back.mostPerSecond(from, from.Add(coldLasts))
	stop()
	<-done
	allowed := coldPerS*coldOverage + coldTolerance
	r.say("%s got up to %d requests in one second; %.1f are allowed while it is cold", back.id, most, allowed)
	r.say("it crashed: %v, with %d orders that it had begun; what clients got: %v", back.crashed.Load(), back.lost.Load(), c.counts())
	return trouble && float64(most) > allowed, nil
}
