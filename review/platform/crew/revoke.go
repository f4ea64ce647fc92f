package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["revoke"] = revokeLastTenant }

// revokeLastTenant takes away the key of one tenant, and then that of the last one, with the
// tenant. The rule is CONFIG: a request with a key that was taken away more than revokeMs ago
// must not run.
func revokeLastTenant(p *play) (bool, error) {
	const revoke = 5 * time.Second // revokeMs
	place, service := plainRoute("r-place", "/place/", "non_idempotent", orders), plainService(orders)
	second := tenant("puxa403", `["`+nextKey+`"]`)
	replicas, err := p.begin(configuration(1, place, service, firstTenant+","+second), []string{orders})
	if err != nil {
		return false, err
	}
	order := func(id, key string, host int) {
		p.send(host, request{id: id, method: http.MethodPost, target: "/place/crest", key: key, body: "crest 10"})
	}
	order("both-keys-hold-1", firstKey, 1)
	order("both-keys-hold-2", nextKey, 2)
	tenantsAfter := []string{firstTenant, ""} // the second tenant leaves, then the first one
	if !p.trouble {
		tenantsAfter = []string{firstTenant + "," + second, firstTenant + "," + second}
	}
	broken := 0
	for step, tenants := range tenantsAfter {
		if !p.fleet.configure(configuration(2+step, place, service, tenants)) {
			return false, fmt.Errorf("version %d was not acknowledged", 2+step)
		}
		time.Sleep(revoke + 500*time.Millisecond)
		for host := 1; host <= hosts; host++ {
			order(fmt.Sprintf("step%d-second-key-%d", step+1, host), nextKey, host)
			order(fmt.Sprintf("step%d-first-key-%d", step+1, host), firstKey, host)
		}
		second, first := len(ranAll(replicas, fmt.Sprintf("step%d-second-key", step+1))), len(ranAll(replicas, fmt.Sprintf("step%d-first-key", step+1)))
		p.record.add("after version %d ran with the second key: %d of %d, with the first key: %d of %d", 2+step, second, hosts, first, hosts)
		if p.trouble {
			broken += second
			if step == 1 {
				broken += first
			}
		}
	}
	p.record.add("requests that ran with a key that was taken away: %d", broken)
	return broken > 0, nil
}
