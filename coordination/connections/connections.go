// Package connections describes kept connections to the other processes of the fleet, and
// makes calls on them.
package connections

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Pool keeps one connection for each address. Package link has one.
type Pool interface {
	// Get returns the connection to an address and creates it if there is none.
	Get(address string) (grpc.ClientConnInterface, error)
	// Replace closes the given connection to an address, so that its calls fail and the
	// next Get returns a new one.
	Replace(address string, conn grpc.ClientConnInterface)
	// Retire makes the next Get return a new connection, as the given one may be dead.
	// Calls that run on it go on for a while.
	Retire(address string, conn grpc.ClientConnInterface)
}

// Call makes a call on the connection to an address, which is replaced if it is silent.
func Call[T any](pool Pool, address string, call func(grpc.ClientConnInterface) (T, error)) (T, error) {
	conn, err := pool.Get(address)
	if err != nil {
		var none T
		return none, err
	}
	response, err := call(conn)
	ReplaceIfSilent(pool, address, conn, err)
	return response, err
}

// ReplaceIfSilent replaces the connection of a call that has ended with an error, nil for
// none, if the call got no answer in its time: the connection may be dead.
func ReplaceIfSilent(pool Pool, address string, conn grpc.ClientConnInterface, err error) {
	if status.Code(err) == codes.DeadlineExceeded {
		pool.Replace(address, conn)
	}
}
