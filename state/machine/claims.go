package machine

import (
	"bytes"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

// Claims expire by the log time, the highest time of any applied command, so that all
// replicas drop them at the same log index. After a claim has been dropped, a request
// with its key runs again. Longer lifetimes make the snapshots larger. An open claim is
// kept longer because its attempt may still run.
//
// Every snapshot contains the recorded bodies. When they exceed maxTotalBodyBytes, they
// are reduced to retainedBodyBytes, so that not each of the next outcomes makes the
// state machine go through all claims again.
const (
	claimLifetimeMs     = 24 * 60 * 60 * 1000       // one day after its grant a claim is dropped, unless it is open
	openClaimLifetimeMs = 7 * 24 * 60 * 60 * 1000   // seven days after its grant a claim that was open after one day is dropped, open or not
	maxOutcomeBytes     = 64 << 10                  // of one recorded body; a longer one is left out
	maxTotalBodyBytes   = 8 << 20                   // of all recorded bodies
	retainedBodyBytes   = maxTotalBodyBytes * 7 / 8 // total that is left after the oldest bodies have been dropped
	maxClaimKeyBytes    = 255
)

type claimKey struct{ organisation, key string }

type claimExpiry struct {
	atMs        uint64
	claimedAtMs uint64
	key         claimKey
	attempt     string
}

// claims holds one record for each idempotency key. Both queues are in ascending
// order of time, because the log time never goes back.
type claims struct {
	records   map[claimKey]*wire.ClaimRecord
	queue     []claimExpiry // every claim, by its ordinary expiry
	openQueue []claimExpiry // claims that were still open at their ordinary expiry, also if settled since
	bodyBytes int           // of all recorded outcomes
}

func newClaims() claims {
	return claims{records: make(map[claimKey]*wire.ClaimRecord)}
}

func (c *claims) claim(nowMs uint64, request *wire.ClaimRequest) *wire.ClaimResponse {
	if err := CheckClaim(request); err != nil {
		return &wire.ClaimResponse{Failure: fault.ToWire(err)}
	}
	key := claimKey{request.Organisation, request.Key}
	have := c.records[key]
	if have != nil && !bytes.Equal(have.RequestDigest, request.RequestDigest) {
		err := fault.New(fault.KeyReused, "idempotency key %q was used for another request", request.Key)
		return &wire.ClaimResponse{Failure: fault.ToWire(err)}
	}
	// An attempt that was settled as not run must never run, so the same attempt gets
	// no second grant.
	if have != nil && (have.State != wire.ClaimState_CLAIM_STATE_NOT_RUN || have.Attempt == request.Attempt) {
		return &wire.ClaimResponse{Existing: proto.CloneOf(have)}
	}
	c.put(&wire.ClaimRecord{
		Organisation:  request.Organisation,
		Key:           request.Key,
		RequestDigest: request.RequestDigest,
		Attempt:       request.Attempt,
		GateInstance:  request.GateInstance,
		GateAddress:   request.GateAddress,
		State:         wire.ClaimState_CLAIM_STATE_OPEN,
		ClaimedAtMs:   nowMs,
	})
	return &wire.ClaimResponse{Granted: true}
}

func (c *claims) put(record *wire.ClaimRecord) {
	key := claimKey{record.Organisation, record.Key}
	c.replace(key, record)
	c.queue = append(c.queue, claimExpiry{record.ClaimedAtMs + claimLifetimeMs, record.ClaimedAtMs, key, record.Attempt})
}

// settle records the outcome of a claim. The states done and not run are final: not
// run means that a gate refuses the attempt for good. A claim in the state unknown
// may still become either.
func (c *claims) settle(request *wire.SettleRequest) *wire.SettleResponse {
	key := claimKey{request.Organisation, request.Key}
	have := c.records[key]
	if have == nil {
		err := fault.New(fault.NotFound, "idempotency key %q has no claim", request.Key)
		return &wire.SettleResponse{Failure: fault.ToWire(err)}
	}
	if have.Attempt != request.Attempt {
		err := fault.New(fault.Conflict, "idempotency key %q is claimed by another attempt", request.Key)
		return &wire.SettleResponse{Record: proto.CloneOf(have), Failure: fault.ToWire(err)}
	}
	if !isSettled(have.State) && request.State != wire.ClaimState_CLAIM_STATE_OPEN {
		next := proto.CloneOf(have)
		next.State = request.State
		next.Outcome = limitOutcome(request.Outcome)
		c.replace(key, next)
		have = next
	}
	response := &wire.SettleResponse{Record: proto.CloneOf(have)}
	c.dropOldestBodies()
	return response
}

// replace sets the record of a key, or deletes it when next is nil.
func (c *claims) replace(key claimKey, next *wire.ClaimRecord) {
	c.bodyBytes += len(next.GetOutcome().GetBody()) - len(c.records[key].GetOutcome().GetBody())
	if next == nil {
		delete(c.records, key)
		return
	}
	c.records[key] = next
}

// dropOldestBodies drops the bodies of the oldest claims when all bodies together
// exceed their limit, and marks their outcomes as truncated. The claims themselves
// stay, so that no request runs twice.
func (c *claims) dropOldestBodies() {
	if c.bodyBytes <= maxTotalBodyBytes {
		return
	}
	for _, due := range slices.Concat(c.openQueue, c.queue) {
		if c.bodyBytes <= retainedBodyBytes {
			return
		}
		have := c.current(due)
		if len(have.GetOutcome().GetBody()) == 0 {
			continue
		}
		next := proto.CloneOf(have)
		next.Outcome.Body = nil
		next.Outcome.Truncated = true
		c.replace(due.key, next)
	}
}

func isSettled(state wire.ClaimState) bool {
	return state == wire.ClaimState_CLAIM_STATE_DONE || state == wire.ClaimState_CLAIM_STATE_NOT_RUN
}

// limitOutcome returns a copy of an outcome. It drops a body that is too long as a
// whole and marks the outcome as truncated.
func limitOutcome(outcome *wire.Outcome) *wire.Outcome {
	bounded := proto.CloneOf(outcome)
	if len(bounded.GetBody()) > maxOutcomeBytes {
		bounded.Body = nil
		bounded.Truncated = true
	}
	return bounded
}

// expire drops the claims that have expired at the log time nowMs.
func (c *claims) expire(nowMs uint64) {
	for len(c.queue) > 0 && c.queue[0].atMs <= nowMs {
		due := c.queue[0]
		c.queue = c.queue[1:]
		have := c.current(due)
		if have == nil {
			continue
		}
		if have.State == wire.ClaimState_CLAIM_STATE_OPEN {
			c.openQueue = append(c.openQueue, claimExpiry{have.ClaimedAtMs + openClaimLifetimeMs, have.ClaimedAtMs, due.key, due.attempt})
			continue
		}
		c.replace(due.key, nil)
	}
	for len(c.openQueue) > 0 && c.openQueue[0].atMs <= nowMs {
		due := c.openQueue[0]
		c.openQueue = c.openQueue[1:]
		if c.current(due) != nil {
			c.replace(due.key, nil)
		}
	}
}

// current returns the record that an expiry belongs to, or nil when the key has
// been claimed again since.
func (c *claims) current(due claimExpiry) *wire.ClaimRecord {
	have := c.records[due.key]
	if have == nil || have.Attempt != due.attempt || have.ClaimedAtMs != due.claimedAtMs {
		return nil
	}
	return have
}

// list returns the records in the order of their grants.
func (c *claims) list() []*wire.ClaimRecord {
	list := make([]*wire.ClaimRecord, 0, len(c.records))
	listed := make(map[claimKey]bool, len(c.records))
	for _, due := range slices.Concat(c.openQueue, c.queue) {
		have := c.current(due)
		if have == nil || listed[due.key] {
			continue
		}
		listed[due.key] = true
		list = append(list, have)
	}
	return list
}

// CheckClaim returns an InvalidRequest error if a claim lacks a field or its key is
// too long.
func CheckClaim(request *wire.ClaimRequest) error {
	if request.GetOrganisation() == "" || request.Key == "" || request.Attempt == "" {
		return fault.New(fault.InvalidRequest, "a claim needs an organisation, a key and an attempt")
	}
	if len(request.Key) > maxClaimKeyBytes {
		return fault.New(fault.InvalidRequest, "the idempotency key has %d bytes, at most %d are allowed", len(request.Key), maxClaimKeyBytes)
	}
	return nil
}
