package gate

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// maxReservation bounds the validity of a group reservation; it may be renewed.
const maxReservation = 30 * time.Second

// Reserve makes or renews a group reservation.
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
	if refusal := g.available(now); refusal != nil {
		return refuse(refusal)
	}
	if request.Reservation == "" || request.MemoryTokens == 0 {
		return refuse(fault.New(fault.InvalidRequest, "reservation needs a name and an amount"))
	}
	valid := min(time.Duration(request.ValidMs)*time.Millisecond, maxReservation)
	if !g.memory.hold(request.Reservation, request.MemoryTokens, now.Add(valid)) {
		return refuse(fault.New(fault.Overloaded, "endpoint %s has %d tokens free", g.info.Endpoint, g.memory.free()).After(retrySoon))
	}
	return &wire.ReserveResponse{Held: true, FreeTokens: g.memory.free()}
}

// Release gives up a group reservation. Its blocks are deleted first.
func (g *Gate) Release(ctx context.Context, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.close(name)
	g.dropClosedGroups(ctx)
}

// kvWork reads the name under which the endpoint lists the work of a KV call.
func kvWork(open *wire.AttemptOpen, body []byte) string {
	if !strings.HasPrefix(open.Path, "/kv/") {
		return ""
	}
	var call struct{ Attempt string }
	_ = json.Unmarshal(body, &call) // the endpoint refuses a malformed body
	return call.Attempt
}

// names says whether a listed identity is the work of this KV call: the name in
// its body, or one derived from it for a segment.
func (a *Attempt) names(id string) bool {
	return a.kvName != "" && strings.HasPrefix(id, a.kvName)
}

func (a *Attempt) namesAny(listed map[string]struct{}) bool {
	if a.kvName == "" {
		return false
	}
	for id := range listed {
		if a.names(id) {
			return true
		}
	}
	return false
}

// keepBlock notes a KV block that an attempt left at the endpoint, so that it
// goes with its reservation. The caller holds mu.
func (g *Gate) keepBlock(a *Attempt, status int, body []byte) {
	if status != 200 || !strings.HasPrefix(a.open.Path, "/kv/") {
		return
	}
	var made struct{ Block string }
	if json.Unmarshal(body, &made) != nil || made.Block == "" {
		return
	}
	if r, ok := g.memory.groups[a.open.Reservation]; ok {
		r.blocks = append(r.blocks, made.Block)
	}
}

// dropClosedGroups frees the closed reservations that no attempt uses. One with
// blocks at the endpoint is freed when those are deleted. The caller holds mu.
func (g *Gate) dropClosedGroups(ctx context.Context) {
	for name, r := range g.memory.groups {
		switch {
		case !r.closed || r.users > 0 || r.deleting:
		case len(r.blocks) == 0:
			g.memory.drop(name)
		default:
			r.deleting = true
			go g.deleteBlocks(context.WithoutCancel(ctx), r, slices.Clone(r.blocks))
		}
	}
}

// deleteBlocks deletes the blocks of a reservation; those that fail stay listed
// and the next tick tries them again.
func (g *Gate) deleteBlocks(ctx context.Context, r *reservation, blocks []string) {
	ctx, cancel := context.WithTimeout(ctx, withdrawWait)
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
}
