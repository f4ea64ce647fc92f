package relay

import (
	"context"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	gapWait       = 100 * time.Millisecond // before a missing chunk is fetched
	resumePause   = 100 * time.Millisecond // between tries to resume
	resumeBefore  = 400 * time.Millisecond // how long to try before the first chunk
	resumeAfter   = 4 * time.Second        // and after it
	cancelTimeout = 2 * time.Second
	arrivals      = 16        // messages read ahead of the caller
	keepBytes     = 256 << 10 // of the newest chunks, not acknowledged
)

// Gates gives clients of gates. A client is asked for anew for each call, so
// that a replaced connection is not used again.
type Gates interface {
	Gate(address string) (wire.GateClient, error)
}

// Origin names where an attempt runs.
type Origin struct {
	Endpoint     string
	GateAddress  string
	GateInstance string
	Attempt      string
	Organisation string
}

// Refusal is a gate's proof that an attempt did not run and never will.
type Refusal struct {
	Cause       error
	Undelivered bool // the attempt was lost on its way, so its gate may be tried again
}

// Error implements error.
func (r *Refusal) Error() string { return "refused: " + r.Cause.Error() }

// Unwrap returns the gate's reason.
func (r *Refusal) Unwrap() error { return r.Cause }

type arrival struct {
	down   *wire.AttemptDown
	err    error
	stream int
}

// Attempt is one attempt at one gate. Its methods are for one goroutine.
type Attempt struct {
	gates  Gates
	origin Origin
	ctx    context.Context
	cancel context.CancelFunc

	order    *ReorderBuffer
	arrived  chan arrival
	stream   int // number of the latest stream
	resuming bool
	chunks   uint64
	progress time.Time // last message, or the start
	acks     chan uint64
	finished bool

	kept      []delivered // not acknowledged yet
	keptBytes int
}

// Start sends an attempt to the gate of origin. The body is not copied.
func Start(ctx context.Context, gates Gates, origin Origin, open *wire.AttemptOpen, body []byte) *Attempt {
	a := newAttempt(ctx, gates, origin, 1)
	go a.send(open, body, a.stream)
	return a
}

// ResumeFrom takes up the answer of an attempt from a sequence on.
func ResumeFrom(ctx context.Context, gates Gates, origin Origin, from uint64) *Attempt {
	a := newAttempt(ctx, gates, origin, max(1, from))
	a.chunks = a.order.Next() - 1
	a.resuming = true
	go a.fetch(a.order.Next(), a.stream)
	return a
}

func newAttempt(ctx context.Context, gates Gates, origin Origin, next uint64) *Attempt {
	ctx, cancel := context.WithCancel(ctx)
	return &Attempt{
		gates:    gates,
		origin:   origin,
		ctx:      ctx,
		cancel:   cancel,
		order:    NewReorderBuffer(next),
		arrived:  make(chan arrival, arrivals),
		progress: time.Now(),
		acks:     make(chan uint64, 1),
	}
}

// Next returns the next chunk or the end, in order. The error is a *Refusal, an
// EndpointFailed error when the attempt was lost, or the cause of the context.
func (a *Attempt) Next() (*wire.AttemptDown, error) {
	for {
		if down := a.order.Pop(); down != nil {
			return a.take(down)
		}
		if err := a.await(); err != nil {
			return nil, err
		}
	}
}

func (a *Attempt) await() error {
	var gap <-chan time.Time
	if a.order.Gap() && !a.resuming {
		timer := time.NewTimer(gapWait)
		defer timer.Stop()
		gap = timer.C
	}
	select {
	case in := <-a.arrived:
		return a.arrive(in)
	case <-gap:
		a.resume(0)
		return nil
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	}
}

func (a *Attempt) arrive(in arrival) error {
	if in.err != nil {
		return a.broken(in)
	}
	switch of := in.down.Of.(type) {
	case *wire.AttemptDown_Accepted:
		a.progress = time.Now()
	case *wire.AttemptDown_Refused:
		return a.refused(fault.FromWire(of.Refused.Failure))
	case *wire.AttemptDown_Chunk, *wire.AttemptDown_End:
		if in.down.Sequence >= a.order.Next() {
			a.progress = time.Now()
		}
		a.order.Add(in.down)
	}
	return nil
}

// refused takes the gate's refusal, which also holds when it comes on a resumed
// stream.
func (a *Attempt) refused(reason error) error {
	if reason == nil {
		reason = fault.New(fault.Overloaded, "the gate gave no reason")
	}
	if fault.KindOf(reason) == fault.InProgress { // an earlier arrival of the attempt runs
		return fault.Wrap(reason, fault.EndpointFailed, "the attempt arrived twice")
	}
	a.finished = true
	return &Refusal{Cause: reason}
}

// broken starts a new stream from the next sequence, unless the attempt has
// made no progress for too long or is unknown to the gate.
func (a *Attempt) broken(in arrival) error {
	if in.stream != a.stream {
		return nil
	}
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	limit := resumeBefore
	if a.chunks > 0 {
		limit = resumeAfter
	}
	if lostForGood(in.err) || time.Since(a.progress) > limit && a.resuming {
		return fault.Wrap(in.err, fault.EndpointFailed, "the attempt was lost")
	}
	if !a.resuming {
		a.progress = time.Now()
	}
	a.resume(resumePause)
	return nil
}

func lostForGood(err error) bool {
	switch status.Code(err) {
	case codes.NotFound, codes.FailedPrecondition, codes.InvalidArgument, codes.PermissionDenied, codes.Unimplemented:
		return true
	}
	return false
}

func (a *Attempt) resume(wait time.Duration) {
	a.stream++
	a.resuming = true
	stream, from := a.stream, a.order.Next()
	time.AfterFunc(wait, func() { a.fetch(from, stream) })
}

func (a *Attempt) take(down *wire.AttemptDown) (*wire.AttemptDown, error) {
	end := down.GetEnd()
	if end == nil {
		a.chunks++
		a.acknowledge(down.Sequence, len(down.GetChunk().GetData()))
		return down, nil
	}
	a.finished = true
	if end.Failure == nil && end.Chunks != a.chunks {
		return nil, fault.New(fault.EndpointFailed, "the answer has %d of %d chunks", a.chunks, end.Chunks)
	}
	return down, nil
}

// delivered is a chunk that the gate still keeps.
type delivered struct {
	sequence uint64
	bytes    int
}

// acknowledge lets the gate drop what lies further back than keepBytes. The
// rest stays there, so that the caller can resume behind what reached it.
func (a *Attempt) acknowledge(sequence uint64, bytes int) {
	a.kept = append(a.kept, delivered{sequence, bytes})
	a.keptBytes += bytes
	var last uint64
	for a.keptBytes > keepBytes {
		last = a.kept[0].sequence
		a.keptBytes -= a.kept[0].bytes
		a.kept = a.kept[1:]
	}
	if last > 0 {
		a.post(last)
	}
}

// post leaves an acknowledgement for the sender in place of an earlier one.
func (a *Attempt) post(sequence uint64) {
	select {
	case <-a.acks:
	default:
	}
	select {
	case a.acks <- sequence:
	default:
	}
}

// Close ends the attempt. One that is not over is cancelled at its gate.
func (a *Attempt) Close() {
	a.cancel()
	if !a.finished {
		go Cancel(a.gates, a.origin)
	}
}

// Detach stops following the attempt and leaves it running at its gate.
func (a *Attempt) Detach() { a.cancel() }

// Cancel tells a gate to stop an attempt.
func Cancel(gates Gates, origin Origin) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if gate, err := gates.Gate(origin.GateAddress); err == nil {
		_, _ = gate.Cancel(ctx, &wire.CancelRequest{Attempt: origin.Attempt})
	}
}
