package placement

import (
	"math/rand/v2"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/loadestimate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// clone returns a copy of the scheduler for a decision over the endpoints, at the present
// time. Its work items are those of s, which a decision only reads, so the caller holds the
// lock of s while it uses the copy.
func (s *Scheduler) clone(endpoints []*directory.Endpoint) *Scheduler {
	now, copies := s.now(), newGroupCopies()
	c := &Scheduler{
		now:              func() time.Time { return now },
		logger:           s.logger,
		states:           make(map[uint64]*endpointState, len(endpoints)),
		inFlight:         s.inFlight,
		tieBreakSeed:     s.tieBreakSeed,
		bias:             s.bias,
		publish:          func(*wire.WorkEvent, Scope) {},
		reportedKeys:     s.reportedKeys,
		engineOf:         s.engineOf,
		isKnown:          s.isKnown,
		heardSinceReturn: s.heardSinceReturn,
		entries:          s.entries,
		estimates:        s.estimates.clone(copies),
	}
	for _, e := range endpoints {
		if state := s.states[e.Key]; state != nil {
			c.states[e.Key] = state.clone(copies)
		}
	}
	return c
}

// clone copies what a decision changes: the simulated queue, and when the estimate was last
// used.
func (state *endpointState) clone(copies *groupCopies) *endpointState {
	c := *state
	c.queue = state.queue.Clone()
	c.estimate = copies.endpoint(state.estimate)
	return &c
}

// clone copies the groups and the state of the random source, so that the copy draws what
// the next choice would draw.
func (e *estimates) clone(copies *groupCopies) estimates {
	source := *e.source
	c := estimates{
		groups: make(map[groupKey]*loadestimate.Group, len(e.groups)),
		source: &source,
		picker: loadestimate.NewPicker(rand.New(&source)),
	}
	for key, group := range e.groups {
		c.groups[key] = copies.group(group)
	}
	return c
}

// groupCopies holds one copy of each group and endpoint, so that copies refer to each other.
type groupCopies struct {
	groups    map[*loadestimate.Group]*loadestimate.Group
	endpoints map[*loadestimate.Endpoint]*loadestimate.Endpoint
}

func newGroupCopies() *groupCopies {
	return &groupCopies{
		groups:    make(map[*loadestimate.Group]*loadestimate.Group),
		endpoints: make(map[*loadestimate.Endpoint]*loadestimate.Endpoint),
	}
}

func (g *groupCopies) group(group *loadestimate.Group) *loadestimate.Group {
	if g.groups[group] == nil {
		copied, endpoints := group.Clone()
		g.groups[group] = copied
		for e, c := range endpoints {
			g.endpoints[e] = c
		}
	}
	return g.groups[group]
}

// endpoint returns the copy of an endpoint, also of one that has left its group.
func (g *groupCopies) endpoint(e *loadestimate.Endpoint) *loadestimate.Endpoint {
	if e == nil {
		return nil
	}
	if e.Group() != nil {
		g.group(e.Group())
		return g.endpoints[e]
	}
	c := *e
	return &c
}
