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
	gapTimeout              = 100 * time.Millisecond // after which missing chunks are requested again
	resumeInterval          = 100 * time.Millisecond // between attempts to resume
	firstChunkResumeTimeout = 400 * time.Millisecond // time without progress after which an attempt without a chunk is lost
	resumeTimeout           = 4 * time.Second        // the same for an attempt with chunks
	cancelTimeout           = 2 * time.Second        // for one Cancel or Release call
	receiveBufferSize       = 16                     // messages buffered ahead of the caller
	unackedWindowBytes      = 256 << 10              // delivered bytes that the gate keeps for a resumption by the caller
)

// Gates returns gRPC clients of gates. Callers ask for a client before each
// call, so that a replaced connection is not used again.
type Gates interface {
	Gate(address string) (wire.GateClient, error)
}

// Origin identifies one attempt and where it runs.
type Origin struct {
	Endpoint     string
	GateAddress  string
	GateInstance string
	Attempt      string
	Organisation string
}

// Refusal is returned when a gate states that an attempt did not run and never
// will.
type Refusal struct {
	Cause       error
	Undelivered bool // the attempt did not reach its gate, which may be tried again
}

// Error implements error.
func (r *Refusal) Error() string { return "refused: " + r.Cause.Error() }

// Unwrap returns the gate's reason for the refusal.
func (r *Refusal) Unwrap() error { return r.Cause }

// streamMessage is a message or the error of one of an attempt's streams.
type streamMessage struct {
	down   *wire.AttemptDown
	err    error
	stream int
	unsent bool // err prevented the stream, so that no part of the attempt was sent
}

// Attempt is one attempt at one gate. It is not safe for concurrent use.
type Attempt struct {
	gates  Gates
	origin Origin
	ctx    context.Context
	cancel context.CancelFunc

	buffer       *ReorderBuffer
	incoming     chan streamMessage
	stream       int       // number of the latest stream; errors of earlier streams are ignored
	resumed      bool      // true from the first resumption on
	chunks       uint64    // delivered, including those before a resumption by the caller
	lastProgress time.Time // time of the last message, the start or the first stream error
	acks         chan uint64
	finished     bool

	unacked      []unackedChunk // delivered, not acknowledged yet
	unackedBytes int
}

// Start sends an attempt to the gate of origin. The body is not copied and must
// not change until the attempt is closed.
func Start(ctx context.Context, gates Gates, origin Origin, open *wire.AttemptOpen, body []byte) *Attempt {
	a := newAttempt(ctx, gates, origin, 1)
	go a.runFirstStream(open, body, a.stream)
	return a
}

// ResumeFrom resumes the answer of a running attempt at the sequence number
// from.
func ResumeFrom(ctx context.Context, gates Gates, origin Origin, from uint64) *Attempt {
	a := newAttempt(ctx, gates, origin, max(1, from))
	a.chunks = a.buffer.Next() - 1
	a.resumed = true
	go a.runResumedStream(a.buffer.Next(), a.stream)
	return a
}

func newAttempt(ctx context.Context, gates Gates, origin Origin, next uint64) *Attempt {
	ctx, cancel := context.WithCancel(ctx)
	return &Attempt{
		gates:        gates,
		origin:       origin,
		ctx:          ctx,
		cancel:       cancel,
		buffer:       NewReorderBuffer(next),
		incoming:     make(chan streamMessage, receiveBufferSize),
		lastProgress: time.Now(),
		acks:         make(chan uint64, 1),
	}
}

// Next returns the next chunk, or the end, in order of sequence. The error is a
// *Refusal, an EndpointFailed error if the attempt was lost, or the cause of
// the context.
func (a *Attempt) Next() (*wire.AttemptDown, error) {
	for {
		if down := a.buffer.Pop(); down != nil {
			return a.deliver(down)
		}
		if err := a.receiveNext(); err != nil {
			return nil, err
		}
	}
}

// receiveNext waits for one message of any stream and handles it. On the first
// stream, it also waits at most gapTimeout for missing chunks and then requests
// them on a new stream. Later streams are only resumed after an error.
func (a *Attempt) receiveNext() error {
	var gap <-chan time.Time
	if a.buffer.Gap() && !a.resumed {
		timer := time.NewTimer(gapTimeout)
		defer timer.Stop()
		gap = timer.C
	}
	select {
	case in := <-a.incoming:
		return a.handle(in)
	case <-gap:
		a.resume(0)
		return nil
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	}
}

func (a *Attempt) handle(in streamMessage) error {
	if in.err != nil {
		return a.handleStreamError(in)
	}
	switch of := in.down.Of.(type) {
	case *wire.AttemptDown_Accepted:
		a.lastProgress = time.Now()
	case *wire.AttemptDown_Refused:
		return a.handleRefusal(fault.FromWire(of.Refused.Failure))
	case *wire.AttemptDown_Chunk, *wire.AttemptDown_End:
		if in.down.Sequence >= a.buffer.Next() {
			a.lastProgress = time.Now()
		}
		a.buffer.Add(in.down)
	}
	return nil
}

// handleRefusal returns the error for a gate's refusal, which proves that the
// attempt did not run, also if it arrives on a resumed stream. The exception is
// InProgress: it means that the gate already runs a copy of the attempt. Close
// then cancels the copy.
func (a *Attempt) handleRefusal(reason error) error {
	if reason == nil {
		reason = fault.New(fault.Overloaded, "the gate gave no reason")
	}
	if fault.KindOf(reason) == fault.InProgress {
		return fault.Wrap(reason, fault.EndpointFailed, "the attempt arrived twice")
	}
	a.finished = true
	return &Refusal{Cause: reason}
}

// handleStreamError resumes the answer at the next sequence number. It gives up
// if nothing was sent, if the error is permanent or if there was no progress for
// too long.
func (a *Attempt) handleStreamError(in streamMessage) error {
	if in.stream != a.stream {
		return nil
	}
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	if in.unsent {
		a.finished = true
		return &Refusal{Cause: fault.Wrap(in.err, fault.Overloaded, "no connection to the gate could be opened").WithRetryAfter(undeliveredRetryAfter)}
	}
	limit := firstChunkResumeTimeout
	if a.chunks > 0 {
		limit = resumeTimeout
	}
	if isPermanent(in.err) || time.Since(a.lastProgress) > limit && a.resumed {
		return fault.Wrap(in.err, fault.EndpointFailed, "the attempt was lost")
	}
	if !a.resumed {
		a.lastProgress = time.Now()
	}
	a.resume(resumeInterval)
	return nil
}

// isPermanent reports whether resuming cannot succeed after err.
func isPermanent(err error) bool {
	switch status.Code(err) {
	case codes.NotFound, codes.FailedPrecondition, codes.InvalidArgument, codes.PermissionDenied, codes.Unimplemented:
		return true
	}
	return false
}

// resume opens a new stream after a delay.
func (a *Attempt) resume(wait time.Duration) {
	a.stream++
	a.resumed = true
	stream, from := a.stream, a.buffer.Next()
	time.AfterFunc(wait, func() { a.runResumedStream(from, stream) })
}

// deliver counts and acknowledges a chunk, and checks at the end that no chunk
// is missing.
func (a *Attempt) deliver(down *wire.AttemptDown) (*wire.AttemptDown, error) {
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

// unackedChunk is a chunk that was delivered and that the gate still keeps.
type unackedChunk struct {
	sequence uint64
	bytes    int
}

// acknowledge lets the gate drop all but the newest unackedWindowBytes of the
// answer. The gate keeps those, so that the caller can resume after the last
// chunk that reached it.
func (a *Attempt) acknowledge(sequence uint64, bytes int) {
	a.unacked = append(a.unacked, unackedChunk{sequence, bytes})
	a.unackedBytes += bytes
	var last uint64
	for a.unackedBytes > unackedWindowBytes {
		last = a.unacked[0].sequence
		a.unackedBytes -= a.unacked[0].bytes
		a.unacked = a.unacked[1:]
	}
	if last > 0 {
		a.queueAck(last)
	}
}

// queueAck leaves an acknowledgement for the sending goroutine. It replaces one
// that was not sent yet, because acknowledgements are cumulative.
func (a *Attempt) queueAck(sequence uint64) {
	select {
	case <-a.acks:
	default:
	}
	select {
	case a.acks <- sequence:
	default:
	}
}

// Close ends the attempt. If the attempt has not finished, Close cancels it at
// its gate without waiting for the call.
func (a *Attempt) Close() {
	a.cancel()
	if !a.finished {
		go Cancel(a.gates, a.origin)
	}
}

// Detach stops receiving the answer and leaves the attempt running at its gate.
func (a *Attempt) Detach() { a.cancel() }

// Cancel asks a gate to stop an attempt. It ignores errors.
func Cancel(gates Gates, origin Origin) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if gate, err := gates.Gate(origin.GateAddress); err == nil {
		_, _ = gate.Cancel(ctx, &wire.CancelRequest{Attempt: origin.Attempt})
	}
}
