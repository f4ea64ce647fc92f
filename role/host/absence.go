package host

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// absenceTimeout is the time after which an absence that was not seen again is forgotten.
// A leader calls the others many times in it.
const absenceTimeout = time.Second

// absences remembers which control processes have said, in answer to this replica's calls,
// that they serve without a replica. Such a replica counts as silent.
type absences struct {
	now func() monotonic.Time

	mu   sync.Mutex
	seen map[string]absence // by address
}

// absence is the time of the first and of the last answer without a replica.
type absence struct{ first, last monotonic.Time }

func newAbsences() *absences {
	return &absences{now: monotonic.Now, seen: make(map[string]absence)}
}

// record records the result of a call to a replica. Only an answer tells whether there is
// one.
func (a *absences) record(address string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch status.Code(err) {
	case codes.OK:
		delete(a.seen, address)
	case codes.Unimplemented:
		now, seen := a.now(), a.seen[address]
		if seen.last == 0 || now.Sub(seen.last) > absenceTimeout {
			seen.first = now
		}
		seen.last = now
		a.seen[address] = seen
	}
}

// addTo raises the silence of processes, by address, to that of their replicas.
func (a *absences) addTo(silence map[string]time.Duration) map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, seen := range a.seen {
		if heard, linked := silence[address]; linked && a.now().Sub(seen.last) <= absenceTimeout {
			silence[address] = max(heard, seen.last.Sub(seen.first))
		}
	}
	return silence
}

// dial opens a connection to a replica.
func (a *absences) dial(address string) (grpc.ClientConnInterface, error) {
	conn, err := link.Dial(address, link.Security{})
	if err != nil {
		return nil, err
	}
	return &replicaConn{ClientConnInterface: conn, Closer: conn, address: address, absences: a}, nil
}

// replicaConn records the results of its calls.
type replicaConn struct {
	grpc.ClientConnInterface
	io.Closer
	address  string
	absences *absences
}

// Invoke implements grpc.ClientConnInterface.
func (c *replicaConn) Invoke(ctx context.Context, method string, args, reply any, options ...grpc.CallOption) error {
	err := c.ClientConnInterface.Invoke(ctx, method, args, reply, options...)
	c.absences.record(c.address, err)
	return err
}
