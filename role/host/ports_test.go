package host

import "testing"

// Fleets that run at the same time must have different ports, or they join each other.
func TestFleetsNeverShareAPort(t *testing.T) {
	const fleets = 100
	used := make(map[int]bool)
	for range fleets {
		_, ports := freeAddresses(t)
		for _, port := range ports {
			if used[port] {
				t.Errorf("two fleets got the port %d", port)
			}
			used[port] = true
		}
	}
}

// Guards against a fleet that gets the calls of a process of an earlier program's fleet, whose
// ports are free again.
func TestFleetsHaveHostsOfTheirOwn(t *testing.T) {
	const fleets, minNetworks = 20, 10 // of 65 thousand
	used := make(map[string]bool)
	for range fleets {
		network, _ := freeAddresses(t)
		used[network] = true
	}
	if len(used) < minNetworks {
		t.Errorf("%d fleets have hosts of the networks %v", fleets, used)
	}
}
