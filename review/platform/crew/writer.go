package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["writer"] = heartbeatOfAnotherWriter }

// heartbeatOfAnotherWriter sends one heartbeat that lacks fields. It names a replica of the
// orders and says that it serves the archive. The rule is ROUTE: a request runs only at a
// service to which a configuration leads it.
func heartbeatOfAnotherWriter(p *play) (bool, error) {
	const count = 60
	routes := plainRoute("r-place", "/place/", "non_idempotent", orders) + "," + plainRoute("r-archive", "/archive/", "non_idempotent", archive)
	replicas, err := p.begin(configuration(1, routes, plainService(orders)+","+plainService(archive), firstTenant), []string{orders, archive})
	if err != nil {
		return false, err
	}
	if p.trouble {
		r := replicas[0]
		text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":16,"state":"ready","sequence":%d,"born":%d}`,
			archive, r.address, r.zone, r.sequence.Load()+100, r.born)
		status, answer, err := do(http.MethodPut, p.fleet.url(1, 2, "/replicas/"+r.id), []byte(text))
		p.record.add("another writer: PUT /replicas/%s %s: %d %s, error %v", r.id, text, status, answer, err)
	}
	time.Sleep(time.Second)
	foreign := 0
	for i := range count {
		id := fmt.Sprintf("archive-%02d", i)
		p.send(i%hosts+1, request{id: id, method: http.MethodPost, target: "/archive/17", key: firstKey, body: "season 2026"})
		for _, r := range ranAll(replicas, id) {
			if r.service != archive {
				foreign++
			}
		}
	}
	p.record.add("requests for the archive that a replica of the orders ran: %d of %d", foreign, count)
	return foreign > 0, nil
}
