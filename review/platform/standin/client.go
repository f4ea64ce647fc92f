package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	entry  *machine
	sentAt time.Time
	status int // 0: the channel ended without a complete answer
	signed bool
}

// clients send requests at a steady rate, each over one kept channel to one entry.
type clients struct {
	record  *record
	entries []*machine
	method  string
	prefix  string // of the path
	rate    float64
	limit   time.Duration

	mu       sync.Mutex
	outcomes []outcome
	work     sync.WaitGroup
}

// run sends requests until ctx ends, then waits for the last answers.
func (c *clients) run(ctx context.Context, count int) {
	gap := time.Duration(float64(count) / c.rate * float64(time.Second))
	for i := range count {
		c.work.Go(func() {
			k := &channel{clients: c, entry: c.entries[i%len(c.entries)]}
			defer k.close()
			time.Sleep(time.Duration(rand.Float64() * float64(gap)))
			for ctx.Err() == nil {
				began := time.Now()
				k.request()
				if wait := gap - time.Since(began); wait > 0 {
					select {
					case <-ctx.Done():
					case <-time.After(wait):
					}
				}
			}
		})
	}
	c.work.Wait()
}

// channel is one client's kept channel.
type channel struct {
	clients *clients
	entry   *machine
	conn    net.Conn
	reader  *bufio.Reader
}

func (k *channel) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// request sends one request and records what came of it.
func (k *channel) request() {
	c := k.clients
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), entry: k.entry}
	defer func() {
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		c.record.add("client: attempt %s sent to %s %.3f s ago: %d, signed %v", o.id, o.entry.name, time.Since(o.sentAt).Seconds(), o.status, o.signed)
	}()
	o.sentAt = time.Now()
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.entry.frontend(), time.Second)
		if err != nil {
			return
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	_ = k.conn.SetDeadline(o.sentAt.Add(c.limit))
	body := "order " + o.id
	if c.method == http.MethodGet {
		body = ""
	}
	fmt.Fprintf(k.conn, "%s %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.method, c.prefix, o.id[:4], hostname, o.id, c.limit.Milliseconds(), apiKey, len(body), body)
	response, err := http.ReadResponse(k.reader, &http.Request{Method: c.method})
	if err != nil {
		k.close()
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		k.close()
		return
	}
	o.status, o.signed = response.StatusCode, response.Header.Get("Replica-Signature") != ""
	if response.Close {
		k.close()
	}
}

// counts returns how often each status was seen.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, o := range c.outcomes {
		counts[o.status]++
	}
	return counts
}
