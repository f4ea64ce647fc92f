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
		{0, 4100, 1560},
		{184 << 20, 0, 428},
		{184 << 20, 4100, 428},
		{504 << 20, 4100, 1172},
		{504 << 20, 1000, 320},
		{1 << 20, 50, 16},
	} {
		if got := maxConnections(&hostconfig.Process{MemoryBytes: c.memoryBytes, MaxDescriptors: c.descriptors}); got != c.want {
			t.Errorf("%d bytes and %d descriptors: %d connections, want %d", c.memoryBytes, c.descriptors, got, c.want)
		}
	}
}
