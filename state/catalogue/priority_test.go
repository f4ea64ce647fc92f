package catalogue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// withPriorities has a service "engine" with one route of each priority, a service "desk"
// with one route, and one organisation of each priority.
func withPriorities(t *rapid.T, routes, organisations []int) *Catalogue {
	c := &Catalogue{Version: 1, Services: map[string]*Service{"engine": {Name: "engine"}, "desk": {Name: "desk"}}}
	for i, p := range routes {
		c.Routes = append(c.Routes, Route{Host: "h", PathPrefix: "/" + string(rune('a'+i)) + "/", Timeout: time.Second, Priority: p, Split: []Share{{"engine", 1}, {"desk", 0}}})
	}
	for _, p := range organisations {
		c.Organisations = append(c.Organisations, Organisation{Priority: &p})
	}
	built, err := Build(c)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// The number sent to engines must never contradict the order of the priorities, and must
// tell them apart while there are enough numbers. A service without routes of different
// priorities, also by a share of weight 0, must not get the ordered queue.
func TestEnginePriorityKeepsTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priority := rapid.IntRange(-1, 11)
		c := withPriorities(t, rapid.SliceOfN(priority, 1, 5).Draw(t, "routes"), rapid.SliceOfN(priority, 0, 5).Draw(t, "organisations"))
		differ := slices.ContainsFunc(c.Routes, func(r Route) bool { return ClampPriority(r.Priority) != ClampPriority(c.Routes[0].Priority) })
		if c.HasPriorities("engine") != differ || c.HasPriorities("desk") {
			t.Fatalf("in force for the engine %v, want %v; for the desk %v", c.HasPriorities("engine"), differ, c.HasPriorities("desk"))
		}
		if !differ {
			return
		}
		all := c.priorities["engine"]
		for i := range c.Routes {
			for o := range c.Organisations {
				if p := PriorityOf(&c.Organisations[o], &c.Routes[i]); !slices.Contains(all, p) {
					t.Fatalf("%+v isn't among %v", p, all)
				}
			}
		}
		for i, p := range all {
			number := c.EnginePriority("engine", p)
			if number < 0 || number > LowestPriority {
				t.Fatalf("%+v gets %d", p, number)
			}
			if i > 0 && number < c.EnginePriority("engine", all[i-1]) || i > 0 && len(all) <= 10 && number == c.EnginePriority("engine", all[i-1]) {
				t.Fatalf("%+v gets %d, and %+v before it %d", p, number, all[i-1], c.EnginePriority("engine", all[i-1]))
			}
		}
	})
}
