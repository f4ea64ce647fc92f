package machine

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/protobuf/proto"
)

const (
	claimLifeMs     = 24 * 60 * 60 * 1000     // log time for which a settled claim is kept
	openClaimLifeMs = 7 * 24 * 60 * 60 * 1000 // log time after which even an open one is dropped
	maxOutcomeBytes = 64 << 10
	maxClaimKey     = 255 // bytes of an idempotency key
)

type claimKey struct{ organisation, key string }

type claimExpiry struct {
	at      uint64
	key     claimKey
	attempt string
}

// claims holds one record for each idempotency key. Both queues ascend by time,
// because log time never goes back.
type claims struct {
	records map[claimKey]*wire.ClaimRecord
	queue   []claimExpiry // every claim, at the end of its ordinary life
	late    []claimExpiry // claims that were still open then
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
	c.records[key] = record
	c.queue = append(c.queue, claimExpiry{record.ClaimedAtMs + claimLifeMs, key, record.Attempt})
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
		c.records[key] = next
		have = next
	}
	return &wire.SettleResponse{Record: proto.CloneOf(have)}
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
		have := c.records[due.key]
		if have == nil || have.Attempt != due.attempt {
			continue
		}
		if have.State == wire.ClaimState_CLAIM_STATE_OPEN {
			c.late = append(c.late, claimExpiry{have.ClaimedAtMs + openClaimLifeMs, due.key, due.attempt})
			continue
		}
		delete(c.records, due.key)
	}
	for len(c.late) > 0 && c.late[0].at <= nowMs {
		due := c.late[0]
		c.late = c.late[1:]
		if have := c.records[due.key]; have != nil && have.Attempt == due.attempt {
			delete(c.records, due.key)
		}
	}
}

// list returns the records in a fixed order: by time, organisation, key.
func (c *claims) list() []*wire.ClaimRecord {
	list := make([]*wire.ClaimRecord, 0, len(c.records))
	for _, record := range c.records {
		list = append(list, record)
	}
	slices.SortFunc(list, func(a, b *wire.ClaimRecord) int {
		return cmp.Or(
			cmp.Compare(a.ClaimedAtMs, b.ClaimedAtMs),
			cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.Key, b.Key))
	})
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
