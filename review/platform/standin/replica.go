package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that reached a replica.
type arrival struct {
	at     time.Time
	id     string
	method string
	target string
	answer int
	ran    bool
}

// replica is a sound replica of a plain service: it runs up to slots requests at a time,
// queues a few more, and rejects what goes beyond with 503 and Not-Executed.
type replica struct {
	id, service, zone, address string
	born                       int64
	slots, queue               int
	work                       time.Duration
	record                     *record

	sequence  atomic.Int64
	draining  atomic.Bool
	coldUntil atomic.Int64 // Unix ms
	server    *http.Server
	slot      chan struct{}
	waiting   atomic.Int64
	stopBeats context.CancelFunc
	beatAt    atomic.Int64 // Unix ms of the last heartbeat
	crashed   atomic.Bool
	lost      atomic.Int64 // requests that it had begun to run when it crashed

	mu       sync.Mutex
	arrivals []arrival
}

func startReplica(r *record, prefix string, n int, service, zone string, work time.Duration) (*replica, error) {
	e := &replica{
		id: fmt.Sprintf("i-%04x%04x", n, time.Now().UnixMilli()&0xffff), service: service, zone: zone, born: time.Now().UnixMilli(),
		address: fmt.Sprintf("%s.%d:%d", prefix, 100+n, replicaPort), slots: 6, queue: 24, work: work, record: r,
	}
	e.slot = make(chan struct{}, e.slots)
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }() // ends with the case
	r.add("replica %s of %s starts in %s at %s", e.id, service, zone, e.address)
	return e, nil
}

func (e *replica) coldRemainingMs() int64 {
	return max(0, e.coldUntil.Load()-time.Now().UnixMilli())
}

func (e *replica) heartbeat() []byte {
	state := "ready"
	if e.draining.Load() {
		state = "draining"
	}
	text, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"coldRemainingMs": e.coldRemainingMs(), "sequence": e.sequence.Add(1), "born": e.born,
	})
	if err != nil {
		panic(err) // can't happen: the fields marshal
	}
	return text
}

// beat sends one heartbeat: to one daemon after the other, until one acknowledges it
// within a second.
func (e *replica) beat(controls []string, first int) bool {
	text := e.heartbeat()
	for i := range controls {
		to := controls[(first+i)%len(controls)]
		status, _ := call(http.MethodPut, "http://"+to+"/replicas/"+e.id, text, time.Second)
		if status/100 == 2 {
			return true
		}
		e.record.add("replica %s: heartbeat at %s: %d", e.id, to, status)
	}
	return false
}

// announce sends heartbeats every heartbeatMs.
func (e *replica) announce(controls []string) {
	ctx, cancel := context.WithCancel(context.Background())
	e.stopBeats = cancel
	go func() {
		for n := rand.IntN(len(controls)); ctx.Err() == nil; n++ {
			e.beatAt.Store(time.Now().UnixMilli())
			e.beat(controls, n)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatMs * time.Millisecond):
			}
		}
	}()
}

// ServeHTTP runs or rejects a request.
func (e *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.URL.Path == "/healthz" {
		e.health(w)
		return
	}
	if q.URL.Path == "/order" {
		w.WriteHeader(http.StatusBadRequest) // a plain service takes no orders
		return
	}
	if e.crashed.Load() || e.crashesAt(at) {
		panic(http.ErrAbortHandler)
	}
	a := arrival{at: at, id: q.Header.Get("Attempt-Id"), method: q.Method, target: q.RequestURI}
	defer func() { e.note(a) }()
	w.Header().Set("Attempt-Id", a.id)
	if target := q.Header.Get("Target-Replica"); target != "" && target != e.id {
		a.answer = http.StatusMisdirectedRequest
		w.Header().Set("At-Server", e.id)
		w.WriteHeader(a.answer)
		return
	}
	if int(e.waiting.Add(1)) > e.slots+e.queue {
		e.waiting.Add(-1)
		a.answer = http.StatusServiceUnavailable
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(a.answer)
		return
	}
	defer e.waiting.Add(-1)
	select {
	case e.slot <- struct{}{}:
	case <-q.Context().Done():
		return // it drops a request whose channel closes
	}
	defer func() { <-e.slot }()
	a.ran = true
	select {
	case <-time.After(e.work):
	case <-q.Context().Done(): // its channel has closed, or this replica has crashed
	}
	if e.crashed.Load() {
		e.lost.Add(1)
		return
	}
	if q.Context().Err() != nil {
		return
	}
	a.answer = http.StatusOK
	text := append([]byte(e.id+" ran "+a.id+" "), body...)
	w.Header().Set("Replica-Signature", fmt.Sprintf("%s.%s.%d", e.id, a.id, len(text)))
	w.Header().Set("Replica-Load", fmt.Sprintf("%d,%d,%d", len(e.slot), max(0, int(e.waiting.Load())-len(e.slot)), e.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text) // the caller may have left
}

// crashesAt reports whether a request at a time is one too many for a cold replica. It
// then crashes: all its channels close, and it says nothing any more.
func (e *replica) crashesAt(at time.Time) bool {
	if e.coldRemainingMs() == 0 || len(e.between(at.Add(-time.Second), at)) < crashPerS || !e.crashed.CompareAndSwap(false, true) {
		return false
	}
	e.record.add("replica %s: it is cold, more than %d requests came within a second, and it crashes", e.id, crashPerS)
	e.stopBeats()
	go func() { _ = e.server.Close() }()
	return true
}

func (e *replica) health(w http.ResponseWriter) {
	w.Header().Set("Replica-Id", e.id)
	w.Header().Set("Cold-Start-Ms", strconv.FormatInt(e.coldRemainingMs(), 10))
	if e.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *replica) note(a arrival) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.record.add("replica %s: %s %s of attempt %s arrived %.3f s ago, ran %v, answered %d", e.id, a.method, a.target, a.id, time.Since(a.at).Seconds(), a.ran, a.answer)
}

// between returns the requests that arrived in a span of time and weren't answered 421.
func (e *replica) between(from, to time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []arrival
	for _, a := range e.arrivals {
		if a.at.After(from) && a.at.Before(to) && a.answer != http.StatusMisdirectedRequest {
			all = append(all, a)
		}
	}
	return all
}

// mostPerSecond returns the largest number of requests that arrived in one second of a
// span of time.
func (e *replica) mostPerSecond(from, to time.Time) int {
	all := e.between(from, to)
	most := 0
	for i := range all {
		n := 0
		for _, a := range all[i:] {
			if a.at.Sub(all[i].at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
