package loadestimate

// Clone returns a copy of the group, and the copy of each of its endpoints. What is done
// to the copies doesn't change the group.
func (g *Group) Clone() (*Group, map[*Endpoint]*Endpoint) {
	group := *g
	group.endpoints = make([]*Endpoint, len(g.endpoints))
	copies := make(map[*Endpoint]*Endpoint, len(g.endpoints))
	for i, e := range g.endpoints {
		endpoint := *e
		endpoint.group = &group
		group.endpoints[i], copies[e] = &endpoint, &endpoint
	}
	return &group, copies
}
