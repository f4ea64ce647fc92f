// Package link creates gRPC connections and servers for calls between the processes of the
// fleet. gRPC never retries a call; retries are left to the calling code.
package link

import (
	"crypto/tls"
	"math"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

const (
	maxMessageBytes = 16 << 20 // in both directions; a call with a larger message fails
	// minConnectTimeout is the time for which gRPC tries to connect before it starts again.
	// A connection to a host that is down is given up early, as the host may be up at the
	// next try.
	minConnectTimeout  = 400 * time.Millisecond
	maxReconnectDelay  = time.Second
	emptyServiceConfig = `{"methodConfig":[]}` // no method has a retry policy
	// retiredLifetime is how long a retired connection is kept for the calls that run on it.
	retiredLifetime      = 5 * time.Second
	maxConcurrentStreams = math.MaxUint32 // no limit, as the calls of a process can share one connection
)

// Security holds the TLS configurations of links. The zero value means plain text.
type Security struct {
	Client *tls.Config
	Server *tls.Config
}

// Dial returns a connection that is opened when it is first used. After a failure it is
// opened again after 50 ms, then after delays that grow by the factor 1.6 up to
// maxReconnectDelay, each varied at random by up to 20 %. A connection that has fallen
// silent is closed by probes, however short its calls are; a call after probeAfter without
// any starts a probe at once.
func Dial(address string, security Security) (*grpc.ClientConn, error) {
	transport := insecure.NewCredentials()
	if security.Client != nil {
		transport = credentials.NewTLS(security.Client)
	}
	return grpc.NewClient("passthrough:///"+dialAddress(address),
		grpc.WithTransportCredentials(transport),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultServiceConfig(emptyServiceConfig),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: minConnectTimeout,
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
		}),
		probeServer(),
	)
}

// NewServer returns a gRPC server for links of the fleet. A panic in a handler ends only
// its call. Connections of peers that are gone without closing them are closed. The given
// options take precedence.
func NewServer(security Security, options ...grpc.ServerOption) *grpc.Server {
	if security.Server != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(security.Server)))
	}
	options = append(probeClients(), options...)
	options = append(options,
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentStreams),
		grpc.ChainUnaryInterceptor(recoverUnary),
		grpc.ChainStreamInterceptor(recoverStream))
	return grpc.NewServer(options...)
}

// Pool holds one connection per address. It implements connections.Pool.
type Pool struct {
	security Security

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool(security Security) *Pool {
	return &Pool{security: security, conns: make(map[string]*grpc.ClientConn)}
}

// Get returns the connection to an address and creates it if there is none.
func (p *Pool) Get(address string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := Dial(address, p.security)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// Replace closes the given connection to an address, and its streams fail. If the pool
// still holds that connection, the next Get creates a new one.
func (p *Pool) Replace(address string, conn grpc.ClientConnInterface) {
	given := conn.(*grpc.ClientConn) // as all connections of a pool
	p.mu.Lock()
	if p.conns[address] == given {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = given.Close()
}

// Retire makes the next Get of an address open a new connection, if the pool still holds
// the given one. Calls that run on it may end within retiredLifetime.
func (p *Pool) Retire(address string, conn grpc.ClientConnInterface) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.conns[address]
	if held == nil || conn != grpc.ClientConnInterface(held) {
		return
	}
	delete(p.conns, address)
	time.AfterFunc(retiredLifetime, func() { _ = held.Close() }) // fails only if it is closed already
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
