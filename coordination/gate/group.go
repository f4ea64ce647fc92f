package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// maxReservationValidity limits the validity of a group reservation, which may
// be renewed.
const maxReservationValidity = 30 * time.Second

const kvPrefillPath = "/kv/prefill"

// Reserve creates or renews a group reservation.
func (g *Gate) Reserve(request *wire.ReserveRequest) *wire.ReserveResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	refuse := func(why *fault.Error) *wire.ReserveResponse {
		return &wire.ReserveResponse{FreeTokens: g.memory.free(), Failure: fault.ToWire(why)}
	}
	if request.GateInstance != "" && request.GateInstance != g.instance {
		return refuse(outOfService("this gate was restarted"))
	}
	if refusal := g.checkAvailable(now); refusal != nil && !g.memory.groupHeld(request.Reservation) {
		return refuse(refusal) // a reservation that is held is still renewed: its attempts continue
	}
	if request.Reservation == "" || request.MemoryTokens == 0 {
		return refuse(fault.New(fault.InvalidRequest, "group reservation needs a name and a number of tokens"))
	}
	valid := min(time.Duration(request.ValidMs)*time.Millisecond, maxReservationValidity)
	if !g.memory.holdGroup(request.Reservation, request.MemoryTokens, now.Add(valid)) {
		return refuse(fault.New(fault.Overloaded, "endpoint %s has %d tokens free", g.info.Endpoint, g.memory.free()).WithRetryAfter(shortRetryAfter))
	}
	return &wire.ReserveResponse{Held: true, FreeTokens: g.memory.free(), EndpointAddress: g.info.Address}
}

// Release closes a group reservation. Its memory is freed once its KV blocks
// have been deleted.
func (g *Gate) Release(ctx context.Context, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.close(name)
	g.freeClosedGroups(ctx)
}

// recordExpectedBlock records the KV block that a prefill will create. This is
// done before the request is sent, since the response may be lost. The caller
// holds mu.
func (g *Gate) recordExpectedBlock(a *Attempt, body []byte) {
	r, ok := g.memory.groups[a.open.Reservation]
	if !ok || a.open.Path != kvPrefillPath {
		return
	}
	var call struct {
		Attempt string
		Segment int
	}
	if json.Unmarshal(body, &call) == nil {
		a.kvBlock = fmt.Sprintf("%s-%d", call.Attempt, call.Segment)
		r.blocks = append(r.blocks, a.kvBlock)
	}
}

// deleteOrphanBlocks deletes the listed KV blocks that belong to no group
// reservation, such as those of an earlier gate or of a call whose response was
// lost. Nothing is dispatched until they are gone, since the ledger does not
// account for their memory. The caller holds mu.
func (g *Gate) deleteOrphanBlocks(listed []string) {
	g.orphanBlocks = 0
	if g.mayCreateUnnamedBlock() {
		return
	}
	mayDelete := g.lease.held(time.Now())
	known := g.reservedBlocks()
	for _, block := range listed {
		if _, ok := known[block]; ok {
			continue
		}
		g.orphanBlocks++
		if _, busy := g.deletingBlocks[block]; mayDelete && !busy {
			g.deletingBlocks[block] = struct{}{}
			go g.deleteOrphanBlock(block)
		}
	}
}

func (g *Gate) reservedBlocks() map[string]struct{} {
	known := make(map[string]struct{})
	for _, r := range g.memory.groups {
		for _, block := range r.blocks {
			known[block] = struct{}{}
		}
	}
	return known
}

// mayCreateUnnamedBlock reports whether a call is running that may create a KV
// block whose name is not known yet.
func (g *Gate) mayCreateUnnamedBlock() bool {
	for _, a := range g.running {
		if strings.HasPrefix(a.open.Path, "/kv/") && a.open.Path != kvPrefillPath {
			return true
		}
	}
	return false
}

func (g *Gate) deleteOrphanBlock(block string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := g.options.Endpoint.DeleteBlock(ctx, block) // after a failure, the next listing triggers a retry
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.deletingBlocks, block)
	if err == nil {
		notify(g.probeDue)
	}
}

// parseKVWorkName returns the name under which the endpoint lists the work of a
// KV call.
func parseKVWorkName(open *wire.AttemptOpen, body []byte) string {
	if !strings.HasPrefix(open.Path, "/kv/") {
		return ""
	}
	var call struct{ Attempt string }
	_ = json.Unmarshal(body, &call) // a malformed body is rejected by the endpoint
	return call.Attempt
}

// matchesKVWork reports whether a listed ID belongs to this KV call: the name
// in the body of the call, or a name for one segment that starts with it.
func (a *Attempt) matchesKVWork(id string) bool {
	return a.kvWorkName != "" && strings.HasPrefix(id, a.kvWorkName)
}

func (a *Attempt) matchesAnyKVWork(listed map[string]struct{}) bool {
	if a.kvWorkName == "" {
		return false
	}
	for id := range listed {
		if a.matchesKVWork(id) {
			return true
		}
	}
	return false
}

// recordCreatedBlock records a KV block that an attempt created at the
// endpoint, so that it is deleted with its group reservation. The caller holds
// mu.
func (g *Gate) recordCreatedBlock(a *Attempt, status int, body []byte) {
	if status != statusOK || !strings.HasPrefix(a.open.Path, "/kv/") {
		return
	}
	var created struct{ Block string }
	if json.Unmarshal(body, &created) != nil || created.Block == "" {
		return
	}
	if r, ok := g.memory.groups[a.open.Reservation]; ok {
		if !slices.Contains(r.blocks, created.Block) {
			r.blocks = append(r.blocks, created.Block)
		}
	}
}

// freeClosedGroups frees the closed reservations that no attempt uses. One with
// KV blocks at the endpoint is freed after those are deleted. The caller holds
// mu.
func (g *Gate) freeClosedGroups(ctx context.Context) {
	for name, r := range g.memory.groups {
		switch {
		case !r.closed || r.users > 0 || r.deleting:
		case len(r.blocks) == 0:
			g.memory.freeGroup(name)
		default:
			r.deleting = true
			go g.deleteBlocks(context.WithoutCancel(ctx), r, slices.Clone(r.blocks))
		}
	}
}

// deleteBlocks deletes the blocks of a reservation. Those that could not be
// deleted stay recorded, and the next tick tries again.
func (g *Gate) deleteBlocks(ctx context.Context, r *groupReservation, blocks []string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var left []string
	for _, block := range blocks {
		if err := g.options.Endpoint.DeleteBlock(ctx, block); err != nil {
			left = append(left, block)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.blocks = left
	r.deleting = false
	if len(left) == 0 {
		g.freeClosedGroups(ctx)
		g.dispatchWaiting()
	}
}
