package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = refusedAndRun }

// refusedAndRun lets one of eight replicas fail 0.45 of its requests for 6 s: it runs the
// order, and then says 503 as what it depends on did not answer in time. It doesn't say
// Not-Executed. The rule is REFUSED: an order that is answered 503 must not have run. A client
// that gets the promise sends the order once more, as PROTOCOL.md says.
func refusedAndRun(p *play) (bool, error) {
	const (
		each  = 10 // nine of twenty answers fail
		lasts = 6 * time.Second
	)
	replicas, err := p.begin(configuration(1, plainRoute("r-place", "/place/", "non_idempotent", orders), plainService(orders), firstTenant),
		[]string{orders, orders, orders})
	if err != nil {
		return false, err
	}
	replicas[8].stop() // eight are left
	time.Sleep(heartbeat)
	if p.trouble {
		var answers atomic.Int64
		replicas[0].answer = func(w http.ResponseWriter, _ *http.Request) bool {
			if n := answers.Add(1); n%2 == 0 || n%(2*each) == 1 {
				return false
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, "placed, but the ledger did not confirm it in time")
			return true
		}
	}
	untrue, twice := 0, 0
	for i, until := 0, time.Now().Add(lasts); time.Now().Before(until); i++ {
		order := fmt.Sprintf("order-%03d", i)
		for attempt := range 2 {
			id := fmt.Sprintf("%s-%d", order, attempt)
			a := p.send(i%hosts+1, request{id: id, method: http.MethodPost, target: "/place/crest", key: firstKey, body: order})
			if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
				break
			}
			if len(ranAll(replicas, id)) > 0 {
				untrue++
			}
		}
		if n := len(ranAll(replicas, order)); n > 1 {
			twice++
			p.record.add("%s was placed %d times", order, n)
		}
	}
	p.record.add("attempts answered with 503 that had run: %d; orders that were placed twice, as their client believed it: %d", untrue, twice)
	return untrue > 0, nil
}
