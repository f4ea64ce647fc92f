package link

import (
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// Guards against calls that a retired connection cuts off, and against retired connections
// that are never closed.
func TestRetiredConnectionIsReplacedAtOnceAndClosedLater(t *testing.T) {
	t.Parallel()
	pool := NewPool(Security{})
	t.Cleanup(pool.Close)
	conn, err := pool.Get("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	old := conn.(*grpc.ClientConn)
	pool.Retire("127.0.0.1:1", old)
	renewed, err := pool.Get("127.0.0.1:1")
	if err != nil || renewed == old {
		t.Errorf("the retired connection is still in use: %v", err)
	}
	if old.GetState() == connectivity.Shutdown {
		t.Error("calls on the retired connection are cut off")
	}
	pool.Retire("127.0.0.1:1", old) // as a second call that met it does
	if again, err := pool.Get("127.0.0.1:1"); err != nil || again != renewed {
		t.Errorf("the new connection was retired in place of the old one: %v", err)
	}
	for deadline := time.Now().Add(awaitTimeout); old.GetState() != connectivity.Shutdown; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the retired connection is not closed")
		}
	}
}
