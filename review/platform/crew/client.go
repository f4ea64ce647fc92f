package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt. Its target stands on the request line as it is.
type request struct {
	id, method, target, key string
	body                    string
	deadline                time.Duration // 1,500 ms if zero
	headers                 []string      // further ones, "NAME: VALUE"
}

// answer is what a client got. Status 0 means that the channel ended without an answer.
type answer struct {
	status    int
	signature string
	retry     string
	body      string
	whole     bool
	err       error
}

// send sends a request to the entry on a host over a new channel and reads the answer.
func (p *play) send(host int, q request) answer {
	if q.deadline == 0 {
		q.deadline = 1500 * time.Millisecond
	}
	a := p.exchange(host, q)
	p.record.add("client: %s %s %s to entry-%d, key %q: status %d, signature %q, Retry-After %q, body %q, whole %v, error %v",
		q.id, q.method, q.target, host, q.key, a.status, a.signature, a.retry, brief(a.body), a.whole, a.err)
	return a
}

func (p *play) exchange(host int, q request) (a answer) {
	conn, err := net.DialTimeout("tcp", p.fleet.frontend(host), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, siteHost, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&text, "X-Api-Key: %s\r\n", q.key)
	}
	for _, h := range q.headers {
		text.WriteString(h + "\r\n")
	}
	if q.body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, signature: response.Header.Get("Replica-Signature"), retry: response.Header.Get("Retry-After"),
		body: string(body), whole: err == nil, err: err,
	}
}
