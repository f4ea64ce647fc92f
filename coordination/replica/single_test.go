package replica

import (
	"context"
	"testing"
	"time"
)

// A group of one voter must confirm reads at once: no heartbeat acknowledgement
// will arrive that could confirm them.
func TestSingleReplicaConfirmsReads(t *testing.T) {
	c := newCluster(t, 1)
	c.eventually("one voter", c.hasVoters(1))
	c.eventually("an idle leader confirms a read", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.nodes[0].replica.Barrier(ctx)
		return err == nil
	})
}
