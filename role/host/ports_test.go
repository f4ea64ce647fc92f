package host

import "testing"

// Fleets that run at the same time must have different ports, or they join each other.
func TestFleetsNeverShareAPort(t *testing.T) {
	const fleets = 100
	used := make(map[int]bool)
	for range fleets {
		for _, port := range freePorts(t) {
			if used[port] {
				t.Errorf("two fleets got the port %d", port)
			}
			used[port] = true
		}
	}
}
