package control_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/loopback"
	"google.golang.org/grpc"
)

const (
	operatorKey  = "the operators' key"
	startTimeout = 30 * time.Second
)

// node is a control replica in the test's process, reached over loopback.
type node struct {
	address string
	port    *loopback.Kept
	folder  string
	store   *configsync.Store
	stop    func()
}

type cluster struct {
	t     *testing.T
	nodes []*node
	peers []string
	pool  *link.Pool
}

func startCluster(t *testing.T) *cluster {
	c := &cluster{t: t, pool: link.NewPool(link.Security{})}
	t.Cleanup(c.pool.Close)
	for i := range 3 {
		n := c.addNode(filepath.Join(t.TempDir(), fmt.Sprint(i)))
		c.peers = append(c.peers, n.address)
	}
	for i := range c.nodes {
		c.start(i)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	c.await("three voters", func() bool {
		status, err := c.operator(0).Status(c.context(), &wire.StatusRequest{OperatorKey: operatorKey})
		voters := 0
		for _, m := range status.GetMembers() {
			if !m.Learner && !m.Removed {
				voters++
			}
		}
		return err == nil && status.LeaderId != "" && voters == 3
	})
	return c
}

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	c.t.Cleanup(cancel)
	return ctx
}

// addNode adds a replica that is not started yet. The test keeps its port over restarts.
func (c *cluster) addNode(folder string) *node {
	c.t.Helper()
	port := loopback.KeepFor(c.t)
	n := &node{address: port.Address(), port: port, folder: folder}
	c.nodes = append(c.nodes, n)
	return n
}

// start runs a replica.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	listener := n.port.Listen()
	hash := sha256.Sum256([]byte(operatorKey))
	n.store = configsync.NewStore()
	role, err := control.New(&control.Config{
		Options: control.Options{DataFolder: n.folder, OperatorKeyHash: hex.EncodeToString(hash[:]), Bootstrap: true},
		Process: &wire.ProcessInfo{Id: fmt.Sprint("control", i), Role: "control", DataCentre: "dc", Address: n.address},
		Peers:   c.peers,
	}, n.store, c.pool)
	if err != nil {
		c.t.Fatal(err)
	}
	server := link.NewServer(link.Security{})
	role.Register(server)
	role.RegisterShared(server)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = server.Serve(listener) }()
	go func() {
		defer close(ended)
		_ = role.Run(ctx)
	}()
	n.stop = func() { // may be called twice
		server.Stop()
		cancel()
		<-ended
	}
}

func (c *cluster) conn(i int) grpc.ClientConnInterface {
	conn, err := c.pool.Get(c.nodes[i].address)
	if err != nil {
		c.t.Fatal(err)
	}
	return conn
}

func (c *cluster) operator(i int) wire.OperatorClient { return wire.NewOperatorClient(c.conn(i)) }

func (c *cluster) await(what string, done func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.t.Fatalf("no %s after %s", what, startTimeout)
}
