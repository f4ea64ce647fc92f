package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Test is what this package needs of a testing.TB, so that programs which reserve ports
// don't import package testing.
type Test interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// Listen returns a listener on a loopback address of its own until the end of a test. A
// client that still calls the address of an earlier listener, also one of another process,
// never reaches it, even if both have the same port.
func Listen(t Test) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(UnusedHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it
	return listener
}

// UnusedHost returns one of 16 million loopback addresses.
func UnusedHost() string {
	return fmt.Sprintf("%s.%d", UnusedNetwork(), 1+rand.IntN(254))
}

// UnusedNetwork returns the first three numbers of one of 65 thousand networks of 254
// loopback addresses. Those of 127.0 and 127.255 are left to servers that choose their
// addresses otherwise.
func UnusedNetwork() string {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
}
