package loopback

import "testing"

// Guards against a listener that gets the connections of a client which still calls the address
// of a closed one.
func TestListenersNeverShareAnAddress(t *testing.T) {
	const listeners = 3000 // the kernel gives some 14,000 ports in turn
	used := make(map[string]bool)
	for range listeners {
		listener := Listen(t)
		address := listener.Addr().String()
		if used[address] {
			t.Fatalf("%s was used before", address)
		}
		used[address] = true
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
