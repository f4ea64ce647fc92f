package machine

import (
	"bytes"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	claimLifeMs     = 24 * 60 * 60 * 1000     // log time for which a settled claim is kept
	openClaimLifeMs = 7 * 24 * 60 * 60 * 1000 // log time after which even an open one is dropped
	maxOutcomeBytes = 64 << 10
	maxBodiesBytes  = 8 << 20                // all recorded bodies; a snapshot travels in one message
	keptBodiesBytes = maxBodiesBytes * 7 / 8 // left after the oldest bodies are dropped
	maxClaimKey     = 255                    // bytes of an idempotency key
)

type claimKey struct{ organisation, key string }

type claimExpiry struct {
	at        uint64
	claimedAt uint64
	key       claimKey
	attempt   string
}

// claims holds one record for each idempotency key. Both queues ascend by time,
// because log time never goes back.
type claims struct {
	records map[claimKey]*wire.ClaimRecord
	queue   []claimExpiry // every claim, at the end of its ordinary life
	late    []claimExpiry // claims that were still open then
	bodies  int           // bytes of all recorded outcomes' bodies
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
	// The attempt that was settled as not run may never run, so it gets no second grant.
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
	c.queue = append(c.queue, claimExpiry{record.ClaimedAtMs + claimLifeMs, record.ClaimedAtMs, key, record.Attempt})
}

// settle records what became of a claim. Done never changes, and neither does
// not run: a gate said so for ever. Unknown may still become either.
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
	if !settled(have.State) && request.State != wire.ClaimState_CLAIM_STATE_OPEN {
		next := proto.CloneOf(have)
		next.State = request.State
		next.Outcome = boundOutcome(request.Outcome)
		c.replace(key, next)
		have = next
	}
	response := &wire.SettleResponse{Record: proto.CloneOf(have)}
	c.dropOldBodies()
	return response
}

// replace sets or, with nil, deletes the record of a key.
func (c *claims) replace(key claimKey, next *wire.ClaimRecord) {
	c.bodies += len(next.GetOutcome().GetBody()) - len(c.records[key].GetOutcome().GetBody())
	if next == nil {
		delete(c.records, key)
		return
	}
	c.records[key] = next
}

// dropOldBodies forgets the bodies of the oldest claims when all of them take
// too much room. The claims stay, so that nothing runs twice.
func (c *claims) dropOldBodies() {
	if c.bodies <= maxBodiesBytes {
		return
	}
	for _, due := range slices.Concat(c.late, c.queue) {
		if c.bodies <= keptBodiesBytes {
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

func settled(state wire.ClaimState) bool {
	return state == wire.ClaimState_CLAIM_STATE_DONE || state == wire.ClaimState_CLAIM_STATE_NOT_RUN
}

func boundOutcome(outcome *wire.Outcome) *wire.Outcome {
	bounded := proto.CloneOf(outcome)
	if len(bounded.GetBody()) > maxOutcomeBytes {
		bounded.Body = nil
		bounded.Truncated = true
	}
	return bounded
}

func (c *claims) expire(nowMs uint64) {
	for len(c.queue) > 0 && c.queue[0].at <= nowMs {
		due := c.queue[0]
		c.queue = c.queue[1:]
		have := c.current(due)
		if have == nil {
			continue
		}
		if have.State == wire.ClaimState_CLAIM_STATE_OPEN {
			c.late = append(c.late, claimExpiry{have.ClaimedAtMs + openClaimLifeMs, have.ClaimedAtMs, due.key, due.attempt})
			continue
		}
		c.replace(due.key, nil)
	}
	for len(c.late) > 0 && c.late[0].at <= nowMs {
		due := c.late[0]
		c.late = c.late[1:]
		if c.current(due) != nil {
			c.replace(due.key, nil)
		}
	}
}

// current returns the record that an expiry was set for, or nil when the key
// was claimed again since.
func (c *claims) current(due claimExpiry) *wire.ClaimRecord {
	have := c.records[due.key]
	if have == nil || have.Attempt != due.attempt || have.ClaimedAtMs != due.claimedAt {
		return nil
	}
	return have
}

// list returns the records in the order in which they were claimed.
func (c *claims) list() []*wire.ClaimRecord {
	list := make([]*wire.ClaimRecord, 0, len(c.records))
	listed := make(map[claimKey]bool, len(c.records))
	for _, due := range slices.Concat(c.late, c.queue) {
		have := c.current(due)
		if have == nil || listed[due.key] {
			continue
		}
		listed[due.key] = true
		list = append(list, have)
	}
	return list
}

// CheckClaim reports what a claim lacks.
func CheckClaim(request *wire.ClaimRequest) error {
	if request.GetOrganisation() == "" || request.Key == "" || request.Attempt == "" {
		return fault.New(fault.InvalidRequest, "a claim needs an organisation, a key and an attempt")
	}
	if len(request.Key) > maxClaimKey {
		return fault.New(fault.InvalidRequest, "the idempotency key has %d bytes, at most %d are allowed", len(request.Key), maxClaimKey)
	}
	return nil
}
