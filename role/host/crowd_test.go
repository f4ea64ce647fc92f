//go:build crowd

package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The entry's limits in its settings, and the crowd, which would take several times as much of
// each from an entry without bounds.
const (
	crowdMemoryMb    = 96
	crowdMaxFds      = 400
	crowdBodyBytes   = 4 << 20 // the limit of a body in the configuration
	crowdBodies      = 64      // clients that send a body up to just short of its end
	crowdConnections = 500     // further clients that send a header, or a part of it, and at most the first byte of a body
	smallBodyBytes   = 2 << 20 // of bodies in very small chunks, which take longer to send
)

// crowdClientTimeout ends clients that the entry neither reads from nor refuses.
const crowdClientTimeout = 20 * time.Second

// startCrowdedEntry starts a fleet with one entry, at host 4, under the limits of the crowd.
func startCrowdedEntry(t *testing.T) *fakePlatform {
	t.Helper()
	p := newFakePlatform(t)
	for n := 1; n <= 3; n++ {
		p.start("control", n, true, true)
	}
	p.memoryMb, p.maxFds = crowdMemoryMb, crowdMaxFds
	p.start("entry", 4, false, true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go newFakeEndpoint(t, 1).announce(ctx, p)
	limits := fmt.Sprintf(`"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000`, crowdBodyBytes)
	p.putConfiguration(2, strings.Replace(configuration(5, `"key"`), `"maxBodyBytes":100000`, limits, 1))
	p.awaitReady(4)
	p.await("a request is answered before the crowd comes", func() bool { return p.answers("before") })
	t.Logf("the entry held %d MiB at most before the crowd came", p.peakMemory("entry4")>>20)
	return p
}

// answers reports whether the entry answers an ordinary request.
func (p *fakePlatform) answers(id string) bool {
	status, _, _ := p.request(4, "/once/x", "key", id)
	return status == 200
}

// crowd is a number of clients that send at the same time and keep their connections open.
type crowd struct {
	p       *fakePlatform
	running sync.WaitGroup
	mu      sync.Mutex
	open    []net.Conn
}

// add starts clients that each connect and call send. A client whose connection the entry
// refuses or closes has nothing more to do.
func (c *crowd) add(clients int, send func(conn net.Conn) error) {
	for range clients {
		c.running.Go(func() {
			conn, err := net.Dial("tcp", net.JoinHostPort(c.p.host(4), strconv.Itoa(c.p.ports[0])))
			if err != nil {
				return
			}
			c.mu.Lock()
			c.open = append(c.open, conn) // closed by disconnect
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(crowdClientTimeout))
			_ = send(conn) // the entry may refuse it
		})
	}
}

func (c *crowd) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
}

// check fails the test unless the entry answers an ordinary request while the crowd is
// connected and after it has disconnected, without a restart and within its limits.
func (c *crowd) check(t *testing.T) {
	t.Helper()
	c.running.Wait()
	p := c.p
	descriptors := p.descriptors("entry4")
	p.await("a request is answered beside the crowd", func() bool { return p.answers("beside") })
	descriptors = max(descriptors, p.descriptors("entry4"))
	c.disconnect()
	p.await("a request is answered after the crowd", func() bool { return p.answers("after") })
	memory := p.peakMemory("entry4")
	t.Logf("the entry held %d MiB at most, and %d descriptors", memory>>20, descriptors)
	if memory > crowdMemoryMb<<20 {
		t.Errorf("the entry held %d MiB, its limit is %d", memory>>20, crowdMemoryMb)
	}
	if descriptors > crowdMaxFds {
		t.Errorf("the entry held %d descriptors, its limit is %d", descriptors, crowdMaxFds)
	}
}

// peakMemory returns the most memory that a process has had resident, VmHWM: a sample of
// VmRSS may miss the peak. It fails the test if the process has ended.
func (p *fakePlatform) peakMemory(name string) int64 {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.running[name].Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) < 2 || fields[1] != "kB" {
		p.logs()
		p.t.Fatalf("%s has ended:\n%s", name, text)
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return kilobytes << 10
}

// crowdHead returns the head of a request whose body has the framing.
func crowdHead(framing string) string {
	return "POST /once/x HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key\r\nDeadline-Ms: 60000\r\nToken-Usage: 100,10\r\n" + framing + "\r\n\r\n"
}

// announced sends a request whose Content-Length is length, with the first sent bytes.
func announced(length, sent int) func(net.Conn) error {
	return func(conn net.Conn) error {
		text := crowdHead(fmt.Sprintf("Content-Length: %d", length)) + strings.Repeat("x", sent)
		_, err := io.WriteString(conn, text)
		return err
	}
}

const chunkedFraming = "Transfer-Encoding: chunked"

// chunked sends a request with a body of sent bytes in chunks, without its end.
func chunked(sent, chunk int) func(net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, crowdHead(chunkedFraming)); err != nil {
			return err
		}
		return sendChunks(conn, sent, chunk)
	}
}

// sendChunks writes many chunks at a time, so that very small ones don't take a call each.
func sendChunks(conn net.Conn, sent, chunk int) error {
	const batchBytes = 32 << 10
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	batch := max(1, batchBytes/chunk)
	text := strings.Repeat(one, batch)
	for ; sent > 0; sent -= batch * chunk {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a process that runs out of memory or descriptors while many clients stop
// just short of the end of their bodies.
func TestManyUnfinishedBodiesLeaveTheProcessAlive(t *testing.T) {
	c := &crowd{p: startCrowdedEntry(t)}
	c.add(crowdBodies, announced(crowdBodyBytes, crowdBodyBytes-1))
	c.add(crowdConnections/2, announced(crowdBodyBytes, 1))
	c.add(crowdConnections/2, func(conn net.Conn) error { // stops in the header
		_, err := io.WriteString(conn, strings.TrimSuffix(crowdHead("X: y"), "\r\n\r\n"))
		return err
	})
	c.check(t)
}

// Guards against the same with chunked bodies, whose lengths aren't known in advance.
func TestManyUnfinishedChunkedBodiesLeaveTheProcessAlive(t *testing.T) {
	t.Run("large chunks", func(t *testing.T) {
		c := &crowd{p: startCrowdedEntry(t)}
		c.add(crowdBodies, chunked(crowdBodyBytes-(64<<10), 64<<10))
		c.add(crowdConnections, chunked(1, 1))
		c.check(t)
	})
	t.Run("very small chunks", func(t *testing.T) {
		c := &crowd{p: startCrowdedEntry(t)}
		c.add(crowdBodies/2, chunked(smallBodyBytes, 1))
		c.add(crowdBodies, chunked(smallBodyBytes, 4))
		c.add(crowdConnections, chunked(1, 1))
		c.check(t)
	})
}

// Guards against a process that reads on beyond the limit of a body, and against one that holds
// a body of almost that size for each client.
func TestBodiesOverTheLimitLeaveTheProcessAlive(t *testing.T) {
	announcedFraming := fmt.Sprintf("Content-Length: %d", 16*crowdBodyBytes)
	t.Run("announced", func(t *testing.T) {
		c := &crowd{p: startCrowdedEntry(t)}
		c.addOverTheLimit(announcedFraming, func(conn net.Conn) error {
			_, err := conn.Write(make([]byte, crowdBodyBytes-(64<<10)))
			return err
		})
		c.add(crowdConnections, announced(16*crowdBodyBytes, 1))
		c.check(t)
	})
	t.Run("simply sent", func(t *testing.T) {
		c := &crowd{p: startCrowdedEntry(t)}
		c.addOverTheLimit(chunkedFraming, func(conn net.Conn) error {
			return sendChunks(conn, crowdBodyBytes-(64<<10), 64<<10)
		})
		c.add(crowdConnections, chunked(1, 1))
		c.check(t)
	})
}

// addOverTheLimit adds clients that send a part below the limit, wait until all have sent
// theirs, and send it again, which exceeds the limit.
func (c *crowd) addOverTheLimit(framing string, sendPart func(net.Conn) error) {
	var below sync.WaitGroup
	below.Add(crowdBodies)
	c.add(crowdBodies, func(conn net.Conn) error {
		_, err := io.WriteString(conn, crowdHead(framing))
		if err == nil {
			err = sendPart(conn)
		}
		below.Done()
		below.Wait()
		if err != nil {
			return err
		}
		return sendPart(conn)
	})
}
