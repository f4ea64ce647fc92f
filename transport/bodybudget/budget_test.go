package bodybudget

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

const testMaxBytes = 1 << 20

// sender is a client's end of a connection whose body is being read.
type sender struct {
	net.Conn
	result chan error
	body   *Body // set before result
}

// startReading reads a body that the returned sender sends.
func startReading(b *Budget) *sender {
	near, far := net.Pipe()
	s := &sender{Conn: far, result: make(chan error, 1)}
	go func() {
		body, err := b.Read(Source{Reader: near, SetReadDeadline: near.SetReadDeadline, AnnouncedBytes: -1, MaxBytes: testMaxBytes})
		_ = near.Close()
		s.body = body
		s.result <- err
	}()
	return s
}

// send writes n bytes; it fails once the reader has returned.
func (s *sender) send(n int) bool {
	_, err := s.Write(make([]byte, n))
	return err == nil
}

// end ends the body and returns the kind of its error, empty for none.
func (s *sender) end() fault.Kind {
	_ = s.Close()
	if err := <-s.result; err != nil {
		return fault.KindOf(err)
	}
	return ""
}

// Guards against a body that is lost or changed where segments meet, against one of the full
// size that a small budget refuses, and against bytes that stay charged.
func TestBodyOfAnySizeIsReadInAnyBudget(t *testing.T) {
	sizes := []int{1, firstSegmentBytes - 1, firstSegmentBytes, firstSegmentBytes + 1, segmentBytes, 2*segmentBytes - firstSegmentBytes,
		largeBodyBytes, largeBodyBytes + 1, testMaxBytes - 1, testMaxBytes}
	for _, size := range sizes {
		sent := make([]byte, size)
		for i := range sent {
			sent[i] = byte(rand.IntN(256))
		}
		for name, reader := range map[string]io.Reader{"whole": bytes.NewReader(sent), "halves": iotest.HalfReader(bytes.NewReader(sent)), "end with data": iotest.DataErrReader(bytes.NewReader(sent))} {
			b := New(1)
			body, err := b.Read(Source{Reader: reader, SetReadDeadline: func(time.Time) error { return nil }, AnnouncedBytes: int64(size), MaxBytes: testMaxBytes})
			if err != nil || !bytes.Equal(body.Bytes, sent) || b.HeldBytes() != int64(size) {
				t.Fatalf("%d bytes, %s: %v, %d held", size, name, err, b.HeldBytes())
			}
			body.Close()
			body.Close()
			if b.HeldBytes() != 0 {
				t.Errorf("%d bytes, %s: %d held after the end", size, name, b.HeldBytes())
			}
		}
	}
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	for name, announced := range map[string]int64{"announced": testMaxBytes + 1, "simply sent": -1} {
		b := New(DefaultBytes)
		endless := &countingReader{}
		_, err := b.Read(Source{Reader: endless, SetReadDeadline: func(time.Time) error { return nil }, AnnouncedBytes: announced, MaxBytes: testMaxBytes})
		if fault.KindOf(err) != fault.BodyTooLarge || b.HeldBytes() != 0 || endless.read > testMaxBytes+1 {
			t.Errorf("%s: %v, %d held, %d read", name, err, b.HeldBytes(), endless.read)
		}
	}
}

// countingReader never ends.
type countingReader struct{ read int }

func (r *countingReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return len(p), nil
}

// Guards against clients that stop, or send a byte now and then, and so keep others out; and
// against the eviction of a body that has made progress or was stalled for a shorter time.
func TestBodiesWithoutProgressGiveWay(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := New(6 * testMaxBytes) // 5 beside the copy, of which large bodies fill 2.5
		stopped, dripping := startReading(b), startReading(b)
		stopped.send(testMaxBytes - 1)
		time.Sleep(time.Millisecond)
		dripping.send(testMaxBytes - 200)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			dripping.send(1)
		}
		steady := startReading(b)
		for range 16 {
			if !steady.send(testMaxBytes / 16) {
				t.Fatal("a body that arrives steadily was refused")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if kind := stopped.end(); kind != fault.Overloaded {
			t.Errorf("the body that stopped first: %q", kind)
		}
		if kind := dripping.end(); kind != "" {
			t.Errorf("the body that stopped later, while there was room again: %q", kind)
		}
		if kind := steady.end(); kind != "" {
			t.Errorf("the steady body: %q", kind)
		}
	})
}

// Guards against ordinary requests that are refused while large bodies arrive as fast as the
// process reads them.
func TestOrdinaryBodiesPassBesideLargeOnes(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := New(4 * testMaxBytes)
		var large []*sender
		for range 20 {
			s := startReading(b)
			for range 4 {
				s.send(testMaxBytes / 4)
			}
			large = append(large, s)
		}
		ordinary := startReading(b)
		ordinary.send(100_000)
		if kind := ordinary.end(); kind != "" {
			t.Fatalf("an ordinary body was refused: %q", kind)
		}
		whole := 0
		for _, s := range large {
			if s.end() == "" {
				whole++
				s.body.Close()
			}
		}
		ordinary.body.Close()
		if whole == 0 || whole == len(large) || b.HeldBytes() != 0 || b.evictedBytes != 0 {
			t.Errorf("%d of %d large bodies arrived, %d bytes held, %d leaving", whole, len(large), b.HeldBytes(), b.evictedBytes)
		}
	})
}

// Guards against slow clients that hold memory for good while no other body needs it.
func TestSlowBodyTimesOut(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := New(DefaultBytes)
		slow := startReading(b)
		for slow.send(1) {
			time.Sleep(100 * time.Millisecond)
		}
		if kind := slow.end(); kind != fault.BodyTimeout || b.HeldBytes() != 0 || b.Counts().TimedOut != 1 {
			t.Errorf("%q, %d held, %+v", kind, b.HeldBytes(), b.Counts())
		}
	})
}

// Guards against answers of running requests that fail because unfinished bodies take the
// memory, and against a reservation beyond the budget.
func TestAnswersTakeTheRoomOfUnfinishedBodies(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := New(4 * testMaxBytes)
		unfinished := startReading(b)
		unfinished.send(testMaxBytes - 1)
		if err := b.Reserve(5 * testMaxBytes / 2); err != nil {
			t.Errorf("an answer beside an unfinished body: %v", err)
		}
		if kind := unfinished.end(); kind != fault.Overloaded {
			t.Errorf("the unfinished body: %q", kind)
		}
		if err := b.Reserve(testMaxBytes); fault.KindOf(err) != fault.Overloaded || fault.From(err).RetryAfter <= 0 {
			t.Errorf("beyond the budget: %v", err)
		}
		b.Release(5 * testMaxBytes / 2)
		if b.HeldBytes() != 0 {
			t.Errorf("%d held", b.HeldBytes())
		}
	})
}

// Guards against bytes that are counted twice or never released, and against readers that wait
// for each other, while many bodies of all sizes are read, evicted and closed.
func TestBudgetIsKeptByManyBodies(t *testing.T) {
	b := New(4 * testMaxBytes)
	var running sync.WaitGroup
	for range 200 {
		running.Go(func() {
			s := startReading(b)
			size := rand.IntN(testMaxBytes)
			for sent := 0; sent < size && s.send(1+rand.IntN(200_000)); sent += 100_000 {
				if held := b.HeldBytes(); held > 3*testMaxBytes+testMaxBytes {
					t.Errorf("%d bytes held", held)
				}
			}
			if s.end() == "" {
				s.body.Close()
			}
			if err := b.Reserve(size); err == nil {
				b.Release(size)
			}
		})
	}
	running.Wait()
	if b.HeldBytes() != 0 || b.evictedBytes != 0 || len(b.bodies) != 0 {
		t.Errorf("%d held, %d leaving, %d bodies", b.HeldBytes(), b.evictedBytes, len(b.bodies))
	}
}

// Guards against a client that asks for "100 Continue" and doesn't read it: the write of it
// blocked the reader for good, and with it all reservations that waited for its bytes.
func TestBodyWhoseContinueIsNotReadIsEvicted(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := New(DefaultBytes)
		refused := make(chan error, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := b.ReadRequest(w, r, testMaxBytes, time.Time{})
			refused <- err
			CloseUnread(w)
		})}
		near, far := net.Pipe()
		go func() { _ = server.Serve(bubble.Listen(far)) }() // ends when the server is closed
		_, _ = io.WriteString(near, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
		time.Sleep(time.Millisecond) // the handler writes "100 Continue"
		all := int(b.Capacity())
		if err := b.Reserve(all); err != nil {
			t.Errorf("beside a body that has not arrived: %v", err)
		}
		b.Release(all)
		if err := <-refused; fault.KindOf(err) != fault.Overloaded || b.HeldBytes() != 0 {
			t.Errorf("%v, %d bytes held", err, b.HeldBytes())
		}
		_ = near.Close()
		time.Sleep(time.Second) // the server closes a little later
		_ = server.Close()
	})
}

// Guards against unfinished bodies that are evicted for an answer or a body that doesn't fit
// without them either.
func TestNoBodyIsEvictedInVain(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		b := New(4 * testMaxBytes) // 3 beside the copy, of which large bodies fill 1.5
		unfinished := startReading(b)
		unfinished.send(largeBodyBytes + 1)
		time.Sleep(time.Millisecond)
		answers := int(b.Capacity() - b.HeldBytes())
		if err := b.Reserve(answers); err != nil {
			t.Fatal(err)
		}
		if err := b.Reserve(testMaxBytes); fault.KindOf(err) != fault.Overloaded {
			t.Errorf("an answer that can't fit: %v", err)
		}
		later := startReading(b)
		later.send(1)
		if kind := later.end(); kind != fault.Overloaded {
			t.Errorf("a body that can't fit: %q", kind)
		}
		if c := b.Counts(); c.Evicted != 0 || c.NoRoom != 2 {
			t.Errorf("%+v", c)
		}
		if kind := unfinished.end(); kind != "" {
			t.Errorf("the unfinished body: %q", kind)
		}
	})
}
