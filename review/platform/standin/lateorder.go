package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

const (
	evacuate = 5 * time.Second // evacuateMs
	// Rounds are played until the rule breaks, within these bounds.
	lateOrderRounds = 20
	frozenFor       = 3900 * time.Millisecond // of at most 4 s
	lateOrderLasts  = 90 * time.Second
	modelReplicas   = 69 // as many as Kartuli Boot Co-operative has since it grew
)

// lateOrder: an operator empties a zone, takes it back and empties it again. One machine
// without a disk stands still meanwhile. The operator first calls that machine to take the
// zone back, gives the call up after a second, closes its channel, and calls another
// machine, which acknowledges. The zone is emptied again, and that is acknowledged too.
// Then the frozen machine wakes, and finds the call in its socket. No request may reach the
// zone later than evacuateMs after the last acknowledgement.
func lateOrder(f *fleet, r *record, trouble bool) (bool, error) {
	replicas, err := f.startDesk(service{Name: "huvo11a", MaxConnections: 130}, []string{"vake", "saburtalo", "didube"})
	if err != nil {
		return false, err
	}
	defer stopReplicas(replicas)
	models, err := f.startModelReplicas(modelReplicas)
	if err != nil {
		return false, err
	}
	defer stopReplicas(models)
	// Clients and the operator's other calls use the machines of the core, which nothing
	// happens to.
	core := f.core()
	c := &clients{record: r, entries: core, method: http.MethodGet, prefix: "/lookup/", rate: 30, limit: 1500 * time.Millisecond}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.run(ctx, 12); close(done) }()
	defer func() { stop(); <-done }()
	time.Sleep(2 * time.Second)

	zone := replicas[0]
	var others []string
	for _, m := range core {
		others = append(others, m.controlPlane())
	}
	began, late := time.Now(), 0
	rounds := 0
	for ; rounds < lateOrderRounds && time.Since(began) < lateOrderLasts && late == 0; rounds++ {
		asleep := f.machines[1+2*(rounds%3)] // the second machine of a zone, without a disk
		if late, err = lateOrderRound(f, r, zone, asleep, others, trouble); err != nil {
			return false, err
		}
		if !trouble && rounds == 5 {
			break
		}
	}
	stop()
	<-done
	r.say("%d rounds; in the last one %d requests reached %s in the emptied zone later than evacuateMs after the acknowledgement", rounds, late, zone.id)
	r.say("what clients got: %v", c.counts())
	return late > 0, nil
}

// lateOrderRound plays one round and returns the number of requests that came too late.
func lateOrderRound(f *fleet, r *record, zone *replica, asleep *machine, others []string, trouble bool) (int, error) {
	path := "/drain/" + zone.zone
	if _, err := f.order(http.MethodPost, path, nil, others, 4*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		if err := f.signalMachine(asleep, syscall.SIGSTOP); err != nil {
			return 0, err
		}
	}
	frozenAt := time.Now()
	if _, err := f.order(http.MethodDelete, path, nil, append([]string{asleep.controlPlane()}, others...), 4*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(100 * time.Millisecond)
	emptied, err := f.order(http.MethodPost, path, nil, others, 4*time.Second)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(frozenAt.Add(frozenFor)))
	if trouble {
		if err := f.signalMachine(asleep, syscall.SIGCONT); err != nil {
			return 0, err
		}
		r.add("%s stood still for %.1f s", asleep.name, time.Since(frozenAt).Seconds())
	}
	woken := time.Now()
	time.Sleep(800 * time.Millisecond)
	if len(zone.between(woken.Add(300*time.Millisecond), time.Now())) == 0 {
		return 0, nil // the zone stays empty in this round
	}
	time.Sleep(time.Until(emptied.Add(evacuate + 3*time.Second)))
	all := zone.between(emptied.Add(evacuate), time.Now())
	for _, a := range all {
		r.add("late: attempt %s reached %s %.3f s after the acknowledgement", a.id, zone.id, a.at.Sub(emptied).Seconds())
	}
	return len(all), nil
}
