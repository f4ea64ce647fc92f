package replica

import (
	"context"
	"testing"
	"time"
)

// A group of one has no heartbeat answers to wait for.
func TestOneReplicaConfirmsItself(t *testing.T) {
	c := newCluster(t, 1)
	c.eventually("a voter", c.voters(1))
	c.eventually("an idle leader that confirms itself", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.nodes[0].replica.Barrier(ctx)
		return err == nil
	})
}
