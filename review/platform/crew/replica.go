package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica: it registers, counts what it runs and answers as
// PROTOCOL.md says, unless a case replaces its answer.
type replica struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	sequence                   atomic.Int64
	fleet                      *fleet
	server                     *http.Server
	ended                      chan struct{}
	work                       time.Duration

	// answer, if set, answers a request that the replica runs. It returns false to leave it
	// to the ordinary answer.
	answer func(w http.ResponseWriter, q *http.Request) bool

	mu   sync.Mutex
	runs []run
}

// run is one request that a replica ran.
type run struct {
	at                            time.Time
	service                       string // of the replica
	attempt, method, target, host string
	tenant, body                  string
}

// newReplica starts a replica in the zone of a host and registers it.
func newReplica(f *fleet, service string, host int) (*replica, error) {
	l, err := net.Listen("tcp", f.ip(100+host)+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: fmt.Sprintf("i-%s-%d-%d", service, host, l.Addr().(*net.TCPAddr).Port), service: service, zone: zoneOf(host), address: l.Addr().String(),
		slots: 16, born: time.Now().UnixMilli(), fleet: f, ended: make(chan struct{}), work: 20 * time.Millisecond,
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }() // ends when the server is closed
	go r.register()
	return r, nil
}

func (r *replica) stop() {
	close(r.ended)
	_ = r.server.Close()
}

// register sends a heartbeat in each interval, to the next control process if one fails.
func (r *replica) register() {
	for host := 1; ; {
		status, _, err := do(http.MethodPut, r.fleet.url(host, 2, "/replicas/"+r.id), r.beat())
		wait := heartbeat
		if err != nil || status/100 != 2 {
			host, wait = host%mostHosts+1, 100*time.Millisecond
		}
		select {
		case <-r.ended:
			return
		case <-time.After(wait):
		}
	}
}

func (r *replica) beat() []byte {
	text, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"coldRemainingMs": 0, "phase": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "loras": []string{}}},
		"sequence": r.sequence.Add(1), "born": r.born,
	})
	if err != nil {
		panic(err) // strings and numbers always marshal
	}
	return text
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.Header.Get("Target-Replica") != "" && q.Header.Get("Target-Replica") != r.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case q.Method == http.MethodGet && q.URL.Path == "/healthz":
		w.Header().Set("Replica-Id", r.id)
		return
	case q.Method == http.MethodGet && q.URL.Path == "/report":
		fmt.Fprint(w, `{"phase":"prefill_decode","models":[{"name":"m","version":1,"loras":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kvUsage":0,"kvSize":405000,"prefixHashes":0,"tickets":[],"pace":1}`)
		return
	case q.Header.Get("Attempt-Id") == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // the request was broken off
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{at: time.Now(), service: r.service, attempt: q.Header.Get("Attempt-Id"), method: q.Method, target: q.RequestURI, host: q.Host,
		tenant: q.Header.Get("Tenant"), body: string(body)})
	r.mu.Unlock()
	r.fleet.record.add("%s of %s runs %s: %s %s, Host %s, Tenant %q", r.id, r.service, q.Header.Get("Attempt-Id"), q.Method, q.RequestURI, q.Host, q.Header.Get("Tenant"))
	w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	w.Header().Set("Replica-Signature", "signature-of-"+r.id)
	w.Header().Set("Replica-Load", fmt.Sprintf("1,0,%d", r.slots))
	time.Sleep(r.work)
	if r.answer != nil && r.answer(w, q) {
		return
	}
	fmt.Fprintf(w, "done by %s", r.id)
}

// ranAll returns what the replicas ran of requests whose id begins with a prefix.
func ranAll(replicas []*replica, prefix string) (found []run) {
	for _, r := range replicas {
		r.mu.Lock()
		for _, done := range r.runs {
			if strings.HasPrefix(done.attempt, prefix) {
				found = append(found, done)
			}
		}
		r.mu.Unlock()
	}
	return found
}
