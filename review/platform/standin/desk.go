package main

import (
	"errors"
	"syscall"
	"time"
)

var errNotAcknowledged = errors.New("the call was not acknowledged")

// startDesk starts all processes and, for a plain service, one replica in each of the
// zones. It returns once all entries are ready and all machines are in touch.
func (f *fleet) startDesk(desk service, zones []string) ([]*replica, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.installFirst(deskConfiguration(7, desk)); err != nil {
		return nil, err
	}
	var replicas []*replica
	for n, zone := range zones {
		e, err := startReplica(f.record, f.prefix, n, desk.Name, zone, 60*time.Millisecond)
		if err != nil {
			return replicas, err
		}
		e.announce(f.controls())
		replicas = append(replicas, e)
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		stopReplicas(replicas)
		return nil, err
	}
	time.Sleep(contact + 2*time.Second)
	return replicas, nil
}

// startModelReplicas starts replicas of the language model service, which get no requests
// in these cases. Their heartbeats go to the control processes like those of the others.
func (f *fleet) startModelReplicas(count int) ([]*replica, error) {
	var replicas []*replica
	for n := range count {
		e, err := startReplica(f.record, f.prefix, 20+n, modelService, f.machines[2*(n%3)].zone, 60*time.Millisecond)
		if err != nil {
			stopReplicas(replicas)
			return nil, err
		}
		e.announce(f.controls())
		replicas = append(replicas, e)
	}
	return replicas, nil
}

func stopReplicas(replicas []*replica) {
	for _, e := range replicas {
		e.stopBeats()
		_ = e.server.Close()
	}
}

// core returns the machines with a disk.
func (f *fleet) core() []*machine {
	var core []*machine
	for _, m := range f.machines {
		if m.disk {
			core = append(core, m)
		}
	}
	return core
}

// signalMachine sends a signal to both processes of a machine.
func (f *fleet) signalMachine(m *machine, s syscall.Signal) error {
	return errors.Join(f.signal(m, "control", s), f.signal(m, "entry", s))
}
