package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The streams of case 7: as many events as a short answer of the deployment, and as far apart.
const (
	streamEvents = 38
	eventGap     = 45 * time.Millisecond
)

// runUnframedReplica is a replica in a process of its own, which announces itself and answers
// streams without a length: they end with their channel. It resumes at Last-Event-Id.
func runUnframedReplica(listen, id, zone, controls string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	r := &replica{id: id, service: "desk", address: listener.Addr().String(), zone: zone, slots: 16, born: time.Now().UnixMilli()}
	go func() {
		for {
			r.beatAt(strings.Split(controls, ","))
			time.Sleep(heartbeatsGap)
		}
	}()
	r.run = streamUnframed
	server := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}

// streamUnframed writes an answer without a length and without chunks.
func streamUnframed(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	header := w.Header()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nReplica-Signature: %s\r\nConnection: close\r\n\r\n",
		header.Get("Attempt-Id"), header.Get("Replica-Signature"))
	for i := first; i <= streamEvents; i++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %d\n\n", i, i, streamEvents); err != nil {
			return
		}
	}
}

// beatAt sends one heartbeat to the first address that acknowledges it.
func (r *replica) beatAt(addresses []string) {
	r.mu.Lock()
	r.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		r.service, r.address, r.zone, r.slots, r.sequence, r.born)
	r.mu.Unlock()
	for _, address := range addresses {
		if status, _ := call(time.Second, "PUT", "http://"+address+"/replicas/"+r.id, []byte(body), nil); status >= 200 && status < 300 {
			return
		}
	}
}

// streamAnswer is what a client has got of a stream.
type streamAnswer struct {
	status   int
	complete bool // the answer ended as its framing says, with its last chunk
	pieces   []int
}

// askStream sends one stream request on a channel of its own.
func askStream(address, id string) (a streamAnswer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(conn, "POST /stream/%s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nX-Api-Key: key-of-boots\r\nContent-Length: 6\r\n\r\nprompt", id, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a.status, a.complete = response.StatusCode, err == nil
	for line := range strings.Lines(string(text)) {
		var piece, of int
		if _, err := fmt.Sscanf(line, "data: piece %d of %d", &piece, &of); err == nil {
			a.pieces = append(a.pieces, piece)
		}
	}
	return a
}

// isWhole reports whether all pieces came once, in their order.
func (a streamAnswer) isWhole() bool {
	for i, piece := range a.pieces {
		if piece != i+1 {
			return false
		}
	}
	return len(a.pieces) == streamEvents
}

// crashUnderStreams plays case 7: one of three replicas crashes while it answers streams that
// have no length.
func crashUnderStreams(r *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.close()
	for n := 1; n <= 3; n++ {
		if err := f.start("control", n, true); err != nil {
			return false, err
		}
	}
	for _, n := range []int{11, 12} {
		if err := f.start("entry", n, true); err != nil {
			return false, err
		}
	}
	var controls []string
	for n := 1; n <= 3; n++ {
		controls = append(controls, f.controlAddress(n))
	}
	for i := range 3 {
		if err := f.startReplica(i, strings.Join(controls, ",")); err != nil {
			return false, err
		}
	}
	o := operator{f}
	if _, err := o.put(30*time.Second, 5, configuration(5), 1, 2, 3); err != nil {
		return false, err
	}
	for _, n := range []int{11, 12} {
		if err := await(30*time.Second, "the entries are ready", func() bool {
			status, _ := call(time.Second, "GET", "http://"+f.readyAddress(n)+"/readyz", nil, nil)
			return status == 200
		}); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if trouble {
		go func() {
			time.Sleep(8 * time.Second)
			f.end("replica-0", syscall.SIGKILL)
		}()
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole, short, failed := 0, 0, 0
	for i := 0; ctx.Err() == nil; i++ {
		n, id := 11+i%2, fmt.Sprintf("stream-%d", i)
		clients.Go(func() {
			sent := time.Since(r.began)
			a := askStream(f.callerAddress(n), id)
			r.note("client", "%s, sent to entry %d at %.3f s: status %d, ended as complete: %v, pieces: %d of %d, whole: %v",
				id, n, sent.Seconds(), a.status, a.complete, len(a.pieces), streamEvents, a.isWhole())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status == 200 && a.complete && !a.isWhole():
				short++
			case a.status == 200 && a.complete:
				whole++
			default:
				failed++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	r.note("check", "%d streams whole, %d ended as complete before their last piece, %d failed or ended as incomplete", whole, short, failed)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return short > 0, nil
}

// startReplica starts a replica of case 7 as a process.
func (f *fleet) startReplica(i int, controls string) error {
	listener, err := net.Listen("tcp", f.host(100+i)+":0")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	_ = listener.Close() // the replica listens there
	return f.startStandIn(fmt.Sprintf("replica-%d", i), "-replica", address, "-id", fmt.Sprintf("i-desk%d", i), "-zone", zoneOf(i+1), "-controls", controls)
}

// startColdReplica starts a replica of the cases 8 and 9 as a process.
func (f *fleet) startColdReplica(i int, address string, late time.Duration, crashes, always bool) error {
	controls := []string{f.controlAddress(1), f.controlAddress(2), f.controlAddress(3)}
	return f.startStandIn(fmt.Sprintf("replica-%d", i), "-replica", address, "-id", fmt.Sprintf("i-desk%d", i), "-zone", zoneOf(i+1),
		"-controls", strings.Join(controls, ","), "-arrivals", f.arrivalsFile(i), "-late", late.String(), "-crashes="+strconv.FormatBool(crashes), alwaysLate(always))
}

// startStandIn starts this program as another process.
func (f *fleet) startStandIn(name string, arguments ...string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(own, arguments...)
	command.Env = []string{"PATH=" + os.Getenv("PATH")}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.running[name] = command
	f.mu.Unlock()
	f.record.note("platform", "started %s", name)
	return nil
}
