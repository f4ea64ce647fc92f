package host

import (
	"testing"

	"github.com/apricotspoke/apricotspoke/state/hostconfig"
)

// Guards against a limit of connections beyond the descriptors or the memory of a process,
// against one that refuses all callers, and against one where the settings state none.
func TestConnectionsFollowDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		memoryBytes int64
		descriptors int
		want        int
	}{
		{0, 0, 0},
		{0, 4100, 1950},
		{184 << 20, 0, 535},
		{184 << 20, 4100, 535},
		{504 << 20, 4100, 1466},
		{504 << 20, 1000, 400},
		{1 << 20, 50, minConnections},
	} {
		if got := maxConnections(&hostconfig.Process{MemoryBytes: c.memoryBytes, MaxDescriptors: c.descriptors}); got != c.want {
			t.Errorf("%d bytes and %d descriptors: %d connections, want %d", c.memoryBytes, c.descriptors, got, c.want)
		}
	}
}
