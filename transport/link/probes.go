package link

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

const (
	// probeAfter is the silence after which a connection with a call is probed. gRPC allows
	// no shorter one.
	probeAfter = 10 * time.Second
	// probeTimeout is the time without an answer to a probe, or with unacknowledged bytes,
	// after which a connection is closed. It is longer than the silence after which links
	// with heartbeats of their own are replaced.
	probeTimeout = 2 * time.Second
	// minProbeInterval is the shortest interval of probes that a server accepts.
	minProbeInterval = probeAfter / 2
	// serverProbeAfter is the silence after which a server probes a connection, also one
	// without calls. A shorter one costs more traffic, as entries keep a connection to each
	// other entry.
	serverProbeAfter = 30 * time.Second
)

// probeServer makes a client close connections that have fallen silent.
func probeServer() grpc.DialOption {
	return grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: probeAfter, Timeout: probeTimeout})
}

// probeClients makes a server close connections that have fallen silent, and accept the
// probes of its clients.
func probeClients() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverProbeAfter, Timeout: probeTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minProbeInterval, PermitWithoutStream: true}),
	}
}
