package catalogue

import (
	"cmp"
	"slices"
)

// LowestPriority is the least urgent priority, which has the highest number; 0 is the most
// urgent.
const LowestPriority = 9

// ClampPriority limits a priority to the range that endpoints accept.
func ClampPriority(priority int) int { return min(max(priority, 0), LowestPriority) }

// Priority is the priority of a request: that of its organisation, then that of its route.
type Priority struct{ Organisation, Route int }

// Compare orders priorities, the most urgent one first.
func (p Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Organisation, other.Organisation), cmp.Compare(p.Route, other.Route))
}

// PriorityOf returns the priority of requests of an organisation to a route. The organisation
// may be nil. Without a priority of its own, it has that of the route.
func PriorityOf(o *Organisation, r *Route) Priority {
	route := ClampPriority(r.Priority)
	if o == nil || o.Priority == nil {
		return Priority{Organisation: route, Route: route}
	}
	return Priority{Organisation: ClampPriority(*o.Priority), Route: route}
}

// HasPriorities reports whether the routes of a service have different priorities.
func (c *Catalogue) HasPriorities(service string) bool { return c.priorities[service] != nil }

// RouteRank returns how many different priorities of the service's routes are more urgent
// than the given one; 0 where they don't differ.
func (c *Catalogue) RouteRank(service string, routePriority int) int {
	place, _ := slices.BinarySearch(c.routePriorities[service], ClampPriority(routePriority))
	return place
}

// EnginePriority returns the priority, from 0 to LowestPriority, that is sent to engines. In a
// service with different priorities, it is the place of p among those of the service's
// requests; with more than there are numbers, neighbours share one. If no organisation has a
// priority, it is the route's.
func (c *Catalogue) EnginePriority(service string, p Priority) int {
	known := c.priorities[service]
	if !c.hasOrganisationPriorities {
		return p.Route
	}
	place, _ := slices.BinarySearchFunc(known, p, Priority.Compare)
	if len(known) > LowestPriority+1 {
		place = place * (LowestPriority + 1) / len(known)
	}
	return ClampPriority(place)
}

// indexPriorities finds the priorities of the requests of each service whose routes have
// different ones.
func (c *Catalogue) indexPriorities() {
	c.priorities, c.routePriorities = make(map[string][]Priority), make(map[string][]int)
	byService := make(map[string][]*Route)
	for i := range c.Routes {
		for _, share := range c.Routes[i].Split {
			if share.Weight > 0 {
				byService[share.Service] = append(byService[share.Service], &c.Routes[i])
			}
		}
	}
	organisations := c.organisationsByPriority()
	for service, routes := range byService {
		if differing := routePriorities(routes); len(differing) > 1 {
			c.priorities[service] = prioritiesOf(organisations, routes)
			c.routePriorities[service] = differing
		}
	}
}

// organisationsByPriority returns one organisation of each priority, and nil for requests
// without an organisation or whose organisation has no priority.
func (c *Catalogue) organisationsByPriority() []*Organisation {
	representatives := []*Organisation{nil}
	var seen [LowestPriority + 1]bool
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if o.Priority == nil || seen[ClampPriority(*o.Priority)] {
			continue
		}
		seen[ClampPriority(*o.Priority)] = true
		representatives = append(representatives, o)
	}
	c.hasOrganisationPriorities = len(representatives) > 1
	return c.dropUnusedNil(representatives)
}

// dropUnusedNil removes the leading nil if each request has an organisation with a priority.
func (c *Catalogue) dropUnusedNil(representatives []*Organisation) []*Organisation {
	hasUnranked := slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Priority == nil })
	hasPublic := slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Public })
	if hasUnranked || hasPublic || len(c.Organisations) == 0 {
		return representatives
	}
	return representatives[1:]
}

// prioritiesOf returns the different priorities of requests of the organisations to the
// routes, sorted.
func prioritiesOf(organisations []*Organisation, routes []*Route) []Priority {
	var all []Priority
	for _, o := range organisations {
		for _, r := range routes {
			all = append(all, PriorityOf(o, r))
		}
	}
	slices.SortFunc(all, Priority.Compare)
	return slices.Compact(all)
}

// routePriorities returns the different priorities of routes, sorted.
func routePriorities(routes []*Route) []int {
	var all []int
	for _, r := range routes {
		all = append(all, ClampPriority(r.Priority))
	}
	slices.Sort(all)
	return slices.Compact(all)
}
