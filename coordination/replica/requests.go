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
	retryAfter      = 500 * time.Millisecond
	maxCommandBytes = 8 << 20
)

// request is work for the replica's goroutine.
type request interface{ run(r *Replica) }

type result struct {
	value any
	err   error
}

type proposal struct {
	ctx     context.Context
	command *wire.Command
	term    uint64
	done    chan result
}

func (p proposal) reply(value any, err error) { p.done <- result{value: value, err: err} }

type read struct {
	ctx    context.Context
	sentAt time.Time
	done   chan result
}

func unknownOutcome() error {
	return fault.New(fault.OutcomeUnknown, "leadership was lost before the change was committed")
}

func notLeader() error {
	return fault.New(fault.NotLeader, "this replica does not lead the control group").After(retryAfter)
}

func notCurrent() error {
	return fault.New(fault.NotCurrent, "no quorum confirmed the control leader in time").After(retryAfter)
}

// enqueue hands a request to the replica's goroutine. An error means that it
// was not taken in.
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
		return fault.Wrap(ctx.Err(), fault.Overloaded, "the control replica took the request in too late").After(retryAfter)
	}
}

// Propose commits a command and returns the machine's result for it. It sets
// the command's time. NotLeader and Overloaded mean that it never commits;
// OutcomeUnknown that it may.
func (r *Replica) Propose(ctx context.Context, command *wire.Command) (any, error) {
	if size := proto.Size(command); size > maxCommandBytes {
		return nil, fault.New(fault.BodyTooLarge, "a command of %d bytes is over %d", size, maxCommandBytes)
	}
	p := proposal{ctx: ctx, command: command, done: make(chan result, 1)}
	if err := r.enqueue(ctx, p); err != nil {
		return nil, err
	}
	return r.await(ctx, p.done, unknownOutcome)
}

// await waits for an answer. A request that the stopped replica never took in
// counts as unanswered too, since that can't be told apart here.
func (r *Replica) await(ctx context.Context, done chan result, unanswered func() error) (any, error) {
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
		return nil, unanswered()
	}
}

func (p proposal) run(r *Replica) {
	if err := p.ctx.Err(); err != nil {
		p.reply(nil, fault.Wrap(err, fault.Overloaded, "the caller's time ran out before the change was taken in").After(retryAfter))
		return
	}
	at := max(r.lastTime, uint64(time.Now().UnixMilli()))
	p.command.TimeMs = at
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.reply(nil, fault.Wrap(err, fault.InvalidRequest, "the command can't be encoded"))
		return
	}
	index, term, err := r.raft.Propose(data)
	if err != nil {
		p.reply(nil, notLeader())
		return
	}
	r.lastTime = at
	p.command, p.term = nil, term
	r.proposals[index] = p
}

// answerProposal gives the waiting caller the result of an applied entry.
func (r *Replica) answerProposal(e *wire.LogEntry, value any) {
	p, ok := r.proposals[e.Index]
	if !ok {
		return
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		p.reply(nil, notLeader()) // another entry took its place
		return
	}
	p.reply(value, nil)
}

// Barrier returns once the machine has applied everything that was committed
// before currentAt, which lies after the call. Leader only.
func (r *Replica) Barrier(ctx context.Context) (currentAt time.Time, err error) {
	q := read{ctx: ctx, done: make(chan result, 1)}
	if err := r.enqueue(ctx, q); err != nil {
		return time.Time{}, err
	}
	value, err := r.await(ctx, q.done, notCurrent)
	if err != nil {
		return time.Time{}, err
	}
	return value.(time.Time), nil
}

func (q read) run(r *Replica) {
	if q.ctx.Err() != nil {
		q.done <- result{err: notCurrent()}
		return
	}
	// The heartbeat round is sent after this moment.
	q.sentAt = time.Now()
	r.nextRead++
	err := r.raft.ReadIndex(r.nextRead)
	switch {
	case errors.Is(err, raft.ErrNotReady):
		q.done <- result{err: notCurrent()}
	case err != nil:
		q.done <- result{err: notLeader()}
	default:
		r.reads[r.nextRead] = q
	}
}

// answerReads answers confirmed reads. Their index is at most the commit index,
// and all committed entries have been applied by now.
func (r *Replica) answerReads(confirmed []raft.ReadState) {
	for _, c := range confirmed {
		q, ok := r.reads[c.ID]
		if !ok {
			continue
		}
		delete(r.reads, c.ID)
		q.done <- result{value: q.sentAt}
	}
}

// afterLeadership fails what waits once this replica no longer leads. Entries
// that are committed already get their answer when they are applied.
func (r *Replica) afterLeadership() {
	if r.raft.Status().Role == raft.Leader {
		return
	}
	for id, q := range r.reads {
		delete(r.reads, id)
		q.done <- result{err: notLeader()}
	}
	for index, p := range r.proposals {
		delete(r.proposals, index)
		p.reply(nil, unknownOutcome())
	}
	for _, done := range r.transfers {
		done <- nil
	}
	r.transfers = nil
	clear(r.promoteAfter)
}

// end answers all that waits and gives up leadership in the status.
func (r *Replica) end() {
	if r.writing {
		<-r.written
	}
	last := r.Status()
	last.Leader, last.LeaderAddress, last.IsLeader, last.CanConfirmReads = "", "", false, false
	r.status.Store(&last)
	for _, q := range r.reads {
		q.done <- result{err: notLeader()}
	}
	for _, p := range r.proposals {
		p.reply(nil, unknownOutcome())
	}
}
