package link

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Call makes a call on the connection of a pool to an address. If the call gets no answer in
// its time, the connection may be dead and is replaced.
func Call[T any](pool *Pool, address string, call func(*grpc.ClientConn) (T, error)) (T, error) {
	conn, err := pool.Get(address)
	if err != nil {
		var none T
		return none, err
	}
	response, err := call(conn)
	if status.Code(err) == codes.DeadlineExceeded {
		pool.Replace(address, conn)
	}
	return response, err
}
