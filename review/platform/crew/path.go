package main

import (
	"fmt"
	"net/http"
)

func init() { cases["path"] = pathWithTwoSlashes }

// pathWithTwoSlashes sends orders whose path begins with an empty segment, as clients do that
// join a base address which ends with a slash and a path. The route has the prefix "/". The
// rule is UNASKED: no replica may run a request with another path.
func pathWithTwoSlashes(p *play) (bool, error) {
	const count = 30
	replicas, err := p.begin(configuration(1, plainRoute("r-all", "/", "non_idempotent", orders), plainService(orders), firstTenant), []string{orders})
	if err != nil {
		return false, err
	}
	target := "/stitch-orders/17/cancel"
	if p.trouble {
		target = "/" + target
	}
	changed := 0
	for i := range count {
		id := fmt.Sprintf("order-%02d", i)
		p.send(i%hosts+1, request{id: id, method: http.MethodPost, target: target, key: firstKey, body: "crest 10"})
		for _, r := range ranAll(replicas, id) {
			if r.target != target || r.host != siteHost {
				changed++
			}
		}
	}
	p.record.add("requests that ran with another path or host than their client's: %d of %d", changed, count)
	return changed > 0, nil
}
