package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["chunk"] = runtimeWithoutChunk }

// runtimeWithoutChunk changes the configuration under traffic: for 3 s the runtime of the
// model service lacks the value "chunk". The rule is CONFIG: of the requests that are still
// unanswered at their route's timeoutMs, half must have an answer half a second later.
func runtimeWithoutChunk(p *play) (bool, error) {
	const (
		timeout  = 3000 * time.Millisecond // timeoutMs of both routes
		grace    = 500 * time.Millisecond
		interval = 25 * time.Millisecond
		lasts    = 20 * time.Second
	)
	const figures = `{"slots":16,"kvCapacity":405000,"kvBytes":163840,"bandwidthMbps":400000.0,"stepsPerPass":34,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":11301,"answer":1266},"hopMs":0.1}`
	version := func(n int, runtime string) string {
		draft := fmt.Sprintf(`{"name":"r-draft","hostname":%q,"pathPrefix":"/draft/","routeType":"streaming","timeoutMs":3000,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":2,"public":false,"sessionAffinity":true,"streamResume":true,"targetItlMs":250}`, siteHost, drafts)
		lookup := strings.Replace(plainRoute("r-look", "/look/", "idempotent", orders), `"timeoutMs":1500`, `"timeoutMs":3000`, 1)
		model := fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":324,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,"runtime":%s}`, drafts, runtime)
		return configuration(n, draft+","+lookup, model+","+plainService(orders), firstTenant)
	}
	replicas, err := p.begin(version(1, figures), []string{drafts, orders})
	if err != nil {
		return false, err
	}
	for _, r := range replicas {
		if r.service == drafts {
			r.answer = streamTenEvents
		}
	}
	var waiting sync.WaitGroup
	var mu sync.Mutex
	late, unanswered := 0, 0 // at timeoutMs, and half a second later
	ask := func(i int) {
		q := request{id: fmt.Sprintf("look-%04d", i), method: http.MethodGet, target: "/look/17", key: firstKey, deadline: timeout + time.Second}
		if i%2 == 0 {
			q = request{id: fmt.Sprintf("draft-%04d", i), method: http.MethodPost, target: "/draft/2f", key: firstKey, body: "proof", deadline: timeout + time.Second,
				headers: []string{"Model: m", "Token-Usage: 1460,80", "Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250"}}
		}
		began := time.Now()
		a := p.send(i%hosts+1, q)
		took := time.Since(began)
		mu.Lock()
		defer mu.Unlock()
		if a.status == 0 || took > timeout {
			late++
		}
		if a.status == 0 || took > timeout+grace {
			unanswered++
		}
	}
	changes := map[int]string{120: version(2, strings.Replace(figures, `"chunk":2048,`, "", 1)), 240: version(3, figures)}
	if !p.trouble {
		changes = map[int]string{120: version(2, figures), 240: version(3, figures)}
	}
	for i, began := 0, time.Now(); time.Since(began) < lasts; i++ {
		if text := changes[i]; text != "" {
			go p.fleet.configure(text)
		}
		waiting.Go(func() { ask(i) })
		time.Sleep(interval)
	}
	waiting.Wait()
	for host := 1; host <= hosts; host++ {
		status, _, err := do(http.MethodGet, p.fleet.url(host, 1, "/readyz"), nil)
		a := p.send(host, request{id: fmt.Sprintf("end-%d", host), method: http.MethodGet, target: "/look/17", key: firstKey, deadline: timeout})
		p.record.add("at the end entry-%d says ready: %d (%v), and answers a lookup with %d", host, status, err, a.status)
	}
	p.record.add("requests that were unanswered at timeoutMs: %d, and half a second later: %d", late, unanswered)
	return 2*unanswered > late, nil
}

// streamTenEvents sends ten events, one each 60 ms.
func streamTenEvents(w http.ResponseWriter, _ *http.Request) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 10; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return true
		}
		time.Sleep(60 * time.Millisecond)
	}
	return true
}
