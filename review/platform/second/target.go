package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// changedTarget plays case 10: clients send requests whose path begins with two slashes, on a
// route whose prefix begins the path.
func changedTarget(r *record, twoSlashes bool) (broken bool, err error) {
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
	if err := f.start("entry", 11, true); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	var mu sync.Mutex
	ran := make(map[string]string) // the target that a replica was sent, by attempt
	for i, zone := range []string{"vake", "saburtalo", "didube"} {
		app, stop, err := newReplica(f, fmt.Sprintf("i-desk%d", i+1), "desk", zone, func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			ran[q.Header.Get("Attempt-Id")] = q.RequestURI
			mu.Unlock()
			r.note("replica", "runs %s: request target %q, which is the path %q of host %q", q.Header.Get("Attempt-Id"), q.RequestURI, q.URL.Path, q.Host)
			lookUp(w, q)
		})
		if err != nil {
			return false, err
		}
		defer stop()
		background.Go(func() { app.announce(ctx, func() []int { return []int{1, 2, 3} }) })
	}
	text := strings.Replace(configuration(5), `"pathPrefix":"/lookup/"`, `"pathPrefix":"/"`, 1)
	if _, err := (operator{f}).put(30*time.Second, 5, text, 1, 2, 3); err != nil {
		return false, err
	}
	if err := await(30*time.Second, "the entry is ready", func() bool {
		status, _ := call(time.Second, "GET", "http://"+f.readyAddress(11)+"/readyz", nil, nil)
		return status == 200
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	path := "/seasons/2026/kit?club=7"
	if twoSlashes {
		path = "/" + path
	}
	changed := 0
	for i := range 10 {
		id := fmt.Sprintf("look-up-%d", i)
		status, err := askTarget(f.callerAddress(11), path, id)
		if err != nil {
			return false, err
		}
		mu.Lock()
		got := ran[id]
		mu.Unlock()
		r.note("client", "%s: GET %s, status %d; the replica was sent %q", id, path, status, got)
		if got != "" && got != path {
			changed++
		}
	}
	r.note("check", "%d of 10 requests ran with another path than the client's", changed)
	return changed > 0, nil
}

// askTarget sends a request with a target as it is.
func askTarget(address, target, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nX-Api-Key: key-of-boots\r\n\r\n", target, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
