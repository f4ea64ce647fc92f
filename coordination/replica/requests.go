package replica

import (
	"context"
	"errors"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/raft"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// retryAfter is the time after which callers are asked to retry. With the
	// default options, it is within the range of the election timeout.
	retryAfter = 500 * time.Millisecond

	// maxCommandBytes bounds one command. Entries are not split: a command goes in
	// one append message, which takeBatch may add to a batch of up to fullBatchBytes,
	// and package link accepts 16 MiB in one call.
	maxCommandBytes = 8 << 20
)

// request is work to run on the replica's goroutine.
type request interface{ run(r *Replica) }

type result struct {
	value any
	err   error
}

type proposal struct {
	ctx     context.Context
	command *wire.Command // nil once proposed
	term    uint64        // term of the proposed entry
	done    chan result
}

func (p proposal) reply(value any, err error) { p.done <- result{value: value, err: err} }

type readRequest struct {
	ctx       context.Context
	currentAt time.Time
	done      chan result
}

// unknownOutcome is the error of a change that may or may not be committed: the
// replica stopped leading, stopped, or restored a snapshot, or the caller's context
// ended first.
func unknownOutcome() error {
	return fault.New(fault.OutcomeUnknown, "no result of the change arrived; it may or may not be committed")
}

func notLeader() error {
	return fault.New(fault.NotLeader, "this replica does not lead the control group").WithRetryAfter(retryAfter)
}

// notCurrent is the error of a read that no quorum confirmed in time, or that a new
// leader can't confirm yet.
func notCurrent() error {
	return fault.New(fault.NotCurrent, "no quorum confirmed the leader of the control group in time").WithRetryAfter(retryAfter)
}

// enqueue passes a request to the replica's goroutine. If it returns an error, the
// request will not run.
func (r *Replica) enqueue(ctx context.Context, q request) error {
	select {
	case <-r.stopped:
		return notLeader()
	default:
	}
	select {
	case r.requests <- q:
		return nil
	case <-r.stopped:
		return notLeader()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Overloaded, "the replica's request queue did not accept the request in time").WithRetryAfter(retryAfter)
	}
}

// Propose commits a command, after setting its time, and returns the state
// machine's result. After NotLeader and Overloaded, the command will never be
// committed; after OutcomeUnknown, it may be.
func (r *Replica) Propose(ctx context.Context, command *wire.Command) (any, error) {
	if size := proto.Size(command); size > maxCommandBytes {
		return nil, fault.New(fault.BodyTooLarge, "the command has %d bytes, more than the limit of %d", size, maxCommandBytes)
	}
	p := proposal{ctx: ctx, command: command, done: make(chan result, 1)}
	if err := r.enqueue(ctx, p); err != nil {
		return nil, err
	}
	return r.await(ctx, p.done, unknownOutcome)
}

// await waits for the result of a request and returns noAnswer's error if none
// arrives before ctx ends or the replica stops. A request that a stopped replica
// never ran also counts as unanswered, since the caller can't tell the two apart.
func (r *Replica) await(ctx context.Context, done chan result, noAnswer func() error) (any, error) {
	select {
	case a := <-done:
		return a.value, a.err
	case <-ctx.Done():
	case <-r.stopped:
	}
	select {
	case a := <-done:
		return a.value, a.err
	default:
		return nil, noAnswer()
	}
}

func (p proposal) run(r *Replica) {
	if err := p.ctx.Err(); err != nil {
		p.reply(nil, fault.Wrap(err, fault.Overloaded, "the caller's deadline expired before the change was proposed").WithRetryAfter(retryAfter))
		return
	}
	at := max(r.lastTimeMs, uint64(time.Now().UnixMilli()))
	p.command.TimeMs = at
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.reply(nil, fault.Wrap(err, fault.InvalidRequest, "the command can't be encoded"))
		return
	}
	if r.raft.Status().Role == raft.Leader {
		if err := r.checkRoom(len(data)); err != nil {
			p.reply(nil, err)
			return
		}
	}
	index, term, err := r.raft.Propose(data)
	if err != nil {
		p.reply(nil, notLeader())
		return
	}
	r.unsavedBytes += int64(len(data))
	r.lastTimeMs = at
	p.command, p.term = nil, term
	r.proposals[index] = p
}

// answerProposal returns the result of an applied entry to the caller that
// proposed it.
func (r *Replica) answerProposal(e *wire.LogEntry, value any) {
	p, ok := r.proposals[e.Index]
	if !ok {
		return
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		p.reply(nil, notLeader()) // another leader's entry has overwritten it
		return
	}
	p.reply(value, nil)
}

// Barrier returns once the state machine has applied everything that was committed
// before currentAt and a quorum has confirmed that this replica still led after
// currentAt. That is the time at which Run took the request from its queue: after
// the call of Barrier and before the quorum's confirmation. Barrier fails with
// NotCurrent or NotLeader if no quorum confirms, and with Overloaded if the request
// queue stays full.
func (r *Replica) Barrier(ctx context.Context) (currentAt time.Time, err error) {
	q := readRequest{ctx: ctx, done: make(chan result, 1)}
	if err := r.enqueue(ctx, q); err != nil {
		return time.Time{}, err
	}
	value, err := r.await(ctx, q.done, notCurrent)
	if err != nil {
		return time.Time{}, err
	}
	return value.(time.Time), nil
}

func (q readRequest) run(r *Replica) {
	if q.ctx.Err() != nil {
		q.done <- result{err: notCurrent()}
		return
	}
	// The heartbeat round that confirms the read is sent after this time. A quorum
	// that acknowledges it has elected no other leader before this time.
	q.currentAt = time.Now()
	r.lastReadID++
	err := r.raft.ReadIndex(r.lastReadID)
	switch {
	case errors.Is(err, raft.ErrNotReady):
		q.done <- result{err: notCurrent()}
	case err != nil:
		q.done <- result{err: notLeader()}
	default:
		r.pendingReads[r.lastReadID] = q
	}
}

// answerReads answers confirmed reads. It doesn't check their index: it is at most
// the commit index, and all committed entries have been applied by now.
func (r *Replica) answerReads(confirmed []raft.ReadState) {
	for _, c := range confirmed {
		q, ok := r.pendingReads[c.ID]
		if !ok {
			continue
		}
		delete(r.pendingReads, c.ID)
		q.done <- result{value: q.currentAt}
	}
}

// failPendingUnlessLeader fails all pending proposals and reads, and completes
// leadership transfers, if this replica does not lead. Proposals that are known to
// be committed have been applied and answered before.
func (r *Replica) failPendingUnlessLeader() {
	if r.raft.Status().Role == raft.Leader {
		return
	}
	for id, q := range r.pendingReads {
		delete(r.pendingReads, id)
		q.done <- result{err: notLeader()}
	}
	for index, p := range r.proposals {
		delete(r.proposals, index)
		p.reply(nil, unknownOutcome())
	}
	for _, done := range r.transferWaiters {
		done <- nil
	}
	r.transferWaiters = nil
	clear(r.promotionIndex)
}

// shutDown waits for a snapshot that is being written, publishes a status without a
// leader, and fails all pending proposals and reads.
func (r *Replica) shutDown() {
	if r.writingSnapshot {
		<-r.snapshotResults
	}
	last := r.Status()
	last.Leader, last.LeaderAddress, last.IsLeader, last.CanConfirmReads = "", "", false, false
	r.status.Store(&last)
	for _, q := range r.pendingReads {
		q.done <- result{err: notLeader()}
	}
	for _, p := range r.proposals {
		p.reply(nil, unknownOutcome())
	}
}
