package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["core"] = replaceCore }

const (
	successorsRun = 10 * time.Second // before a predecessor is removed; catchUpS is 4
	catchUp       = 4 * time.Second
	recovery      = 12 * time.Second // recoveryS
	readFor       = 6 * time.Second  // twice contactMs
)

// replaceCore replaces one machine of the core as planned, and loses another one for good 1 s
// after the first is gone, whose successor comes 1 s after that. The rule is CONFIG: read back at
// the end, the acknowledged configuration must come.
//
// VARIANT=later loses the second machine 5 s after the first is gone. VARIANT=three replaces all
// three machines as planned: three new ones are added, and when they have run for
// successorsRun, the old ones get SIGTERM, 500 ms apart.
func replaceCore(p *play) (bool, error) {
	const count = 60
	place, service := plainRoute("r-place", "/place/", "non_idempotent", orders), plainService(orders)
	if _, err := p.begin(configuration(1, place, service, firstTenant), []string{orders, orders}); err != nil {
		return false, err
	}
	served := p.serveOrders("before", 2, count)
	if served < count/4 {
		return false, fmt.Errorf("the fleet does not serve")
	}
	added, removals := []int{4}, func() error { return p.removeTwo(time.Second) }
	switch os.Getenv("VARIANT") {
	case "later":
		removals = func() error { return p.removeTwo(5 * time.Second) }
	case "three":
		added, removals = []int{4, 5, 6}, p.removeThree
	}
	for _, host := range added {
		if err := p.fleet.add(host, 1, 2, 3); err != nil {
			return false, err
		}
	}
	time.Sleep(successorsRun)
	acknowledged := configuration(2, place, service, firstTenant)
	if !p.fleet.configure(acknowledged) {
		return false, fmt.Errorf("version 2 was not acknowledged")
	}
	if p.trouble {
		if err := removals(); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp + recovery)
	served = p.serveOrders("after", 4, count)
	reads, read := p.readBack(acknowledged)
	p.record.add("reads of the configuration at the end: %d, of which %d brought the acknowledged one; requests that were served after the change of machines: %d of %d",
		reads, read, served, count)
	return read == 0, nil
}

// readBack reads the configuration at all machines for readFor, and returns how many reads were
// made and how many brought the acknowledged one.
func (p *play) readBack(acknowledged string) (reads, read int) {
	for began := time.Now(); time.Since(began) < readFor; time.Sleep(200 * time.Millisecond) {
		for host := 1; host <= mostHosts; host++ {
			status, text, err := do(http.MethodGet, p.fleet.url(host, 2, "/configuration"), nil)
			if err != nil {
				continue // no machine, or one that was removed
			}
			reads++
			p.record.add("the operator reads the configuration at machine %d: %d %s", host, status, brief(text))
			if status == http.StatusOK && text == acknowledged {
				read++
			}
		}
	}
	return reads, read
}

// serveOrders sends orders to the entry on a host and returns how many are served.
func (p *play) serveOrders(name string, host, count int) (served int) {
	for i := range count {
		a := p.send(host, request{id: fmt.Sprintf("%s-%02d", name, i), method: http.MethodPost, target: "/place/crest", key: firstKey, body: "crest 10"})
		if a.status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.record.add("served %s: %d of %d", name, served, count)
	return served
}

// removeTwo removes a machine whose successor runs, and later one that has none yet.
func (p *play) removeTwo(later time.Duration) error {
	p.fleet.remove(3, syscall.SIGTERM)
	time.Sleep(later)
	p.fleet.remove(1, syscall.SIGKILL)
	time.Sleep(time.Second)
	return p.fleet.add(5, 2, 4)
}

// removeThree removes the machines of the first start, whose successors run.
func (p *play) removeThree() error {
	for host := 1; host <= hosts; host++ {
		p.fleet.remove(host, syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
	}
	return nil
}
