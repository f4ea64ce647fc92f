package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call sends one HTTP call on a connection of its own and returns the status and the body. The
// status 0 says that no whole answer came in time. Redirects are followed twice, as callers of
// the control plane do.
func call(limit time.Duration, method, url string, body []byte, header map[string]string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// operator is the operator of the deployment. It calls the machines that serve control.
type operator struct{ fleet *fleet }

// put sends a configuration to the machines in turn until one acknowledges it, and returns
// the machine that did.
func (o operator) put(limit time.Duration, version int, text string, machines ...int) (int, error) {
	acknowledged := 0
	err := await(limit, fmt.Sprintf("an acknowledgement of configuration %d", version), func() bool {
		for _, n := range machines {
			status, _ := call(time.Second, "PUT", "http://"+o.fleet.controlAddress(n)+"/configuration", []byte(text), nil)
			o.fleet.record.note("operator", "PUT /configuration, version %d, at machine %d: %d", version, n, status)
			if status == 200 {
				acknowledged = n
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
		return false
	})
	return acknowledged, err
}

// get reads the configuration at a machine.
func (o operator) get(n int) (int, string) {
	status, text := call(time.Second, "GET", "http://"+o.fleet.controlAddress(n)+"/configuration", nil, nil)
	o.fleet.record.note("operator", "GET /configuration at machine %d: %d, %d bytes", n, status, len(text))
	return status, text
}

// replica is a model replica or an application replica in this process. It announces itself
// and runs what it is sent.
type replica struct {
	id, service, address, zone string
	slots                      int
	born                       int64
	fleet                      *fleet
	run                        http.HandlerFunc

	mu       sync.Mutex
	sequence int
}

// newReplica starts a sound replica that answers at once. run answers a request that it runs.
func newReplica(f *fleet, id, service, zone string, run http.HandlerFunc) (*replica, func(), error) {
	listener, err := net.Listen("tcp", f.host(100)+":0")
	if err != nil {
		return nil, nil, err
	}
	r := &replica{id: id, service: service, address: listener.Addr().String(), zone: zone, slots: 16, born: time.Now().UnixMilli(), fleet: f, run: run}
	server := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with Close
	return r, func() { _ = server.Close() }, nil
}

// ServeHTTP implements http.Handler, as PROTOCOL.md describes it.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if target := q.Header.Get("Target-Replica"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Replica-Signature", "signature-of-"+r.id)
	r.run(w, q)
}

// beat sends one heartbeat to the first machine that acknowledges it.
func (r *replica) beat(machines []int) bool {
	r.mu.Lock()
	r.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		r.service, r.address, r.zone, r.slots, r.sequence, r.born)
	r.mu.Unlock()
	for _, n := range machines {
		if status, _ := call(time.Second, "PUT", "http://"+r.fleet.controlAddress(n)+"/replicas/"+r.id, []byte(body), nil); status >= 200 && status < 300 {
			return true
		}
	}
	return false
}

// announce sends heartbeats until ctx ends. machines returns those that serve control, as the
// replicas' list has them.
func (r *replica) announce(ctx context.Context, machines func() []int) {
	for ctx.Err() == nil {
		r.beat(machines())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatsGap):
		}
	}
}

// tally counts the answers of clients' requests by the second in which they were sent.
type tally struct {
	mu     sync.Mutex
	asked  map[int]int
	served map[int]int
}

func newTally() *tally { return &tally{asked: make(map[int]int), served: make(map[int]int)} }

func (t *tally) add(second int, good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[second]++
	if good {
		t.served[second]++
	}
}

// between sums the requests that were sent in the seconds [from, to).
func (t *tally) between(from, to int) (asked, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for second := from; second < to; second++ {
		asked += t.asked[second]
		served += t.served[second]
	}
	return asked, served
}

// lookUps sends idempotent requests to the entries in turn until ctx ends, ten a second.
func lookUps(ctx context.Context, f *fleet, t *tally, entries ...int) {
	for i := 0; ctx.Err() == nil; i++ {
		n, id := entries[i%len(entries)], fmt.Sprintf("look-up-%d", i)
		second := int(time.Since(f.record.began).Seconds())
		go func() {
			status, text := call(1500*time.Millisecond, "GET", "http://"+f.callerAddress(n)+"/lookup/"+id, nil, map[string]string{
				"Host": "desk.example", "Attempt-Id": id, "Deadline-Ms": "1500", "X-Api-Key": "key-of-boots",
			})
			good := status == 200 && strings.HasPrefix(text, "looked up "+id)
			t.add(second, good)
			f.record.note("client", "%s, sent to entry %d in second %d: %d", id, n, second, status)
		}()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// configuration returns a configuration with one idempotent route and one stream.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-lookup","hostname":"desk.example","pathPrefix":"/lookup/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"public":false},{"name":"r-stream","hostname":"desk.example","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"desk","maxAttempts":2,"public":false,"streamResume":true,"targetItlMs":250}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"boots","apiKeys":["key-of-boots"],"priority":1}]}`, version)
}
