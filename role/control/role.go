// Package control wires the control role: a replica of the control group and its
// services. The role runs in a program of its own, or in an entry or agent process
// that has a data folder.
package control

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/control"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/machine"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

// transferTimeout bounds the transfer of leadership at shutdown. After it the process
// exits as leader, and the others elect a new one after an election timeout.
const transferTimeout = 2 * time.Second

// Config is what the role needs from its process.
type Config struct {
	Options
	Process  *wire.ProcessInfo // its address is the one at which other replicas reach this one
	Peers    []string          // addresses of the control replicas, with or without this one
	Security link.Security
}

// Role is the control role of a process.
type Role struct {
	replica *replica.Replica
	service *control.Service
}

// Provide adds the role to a container that provides *Config,
// *configsync.Store and *link.Pool.
func Provide(container *dig.Container) error {
	for _, constructor := range []any{machine.New, openReplica, newService, newRole} {
		if err := container.Provide(constructor); err != nil {
			return err
		}
	}
	return nil
}

// New opens the replica and wires the role in a container of its own. The process's
// other roles may use the same store.
func New(config *Config, store *configsync.Store, pool *link.Pool) (*Role, error) {
	container := dig.New()
	provided := []any{
		func() *Config { return config },
		func() *configsync.Store { return store },
		func() *link.Pool { return pool },
	}
	for _, constructor := range provided {
		if err := container.Provide(constructor); err != nil {
			return nil, err
		}
	}
	if err := Provide(container); err != nil {
		return nil, err
	}
	var role *Role
	if err := container.Invoke(func(r *Role) { role = r }); err != nil {
		return nil, dig.RootCause(err)
	}
	return role, nil
}

func openReplica(config *Config, m *machine.Machine) (*replica.Replica, error) {
	return replica.Open(replica.Options{
		DataFolder:   config.DataFolder,
		Address:      config.Process.Address,
		Peers:        config.Peers,
		Bootstrap:    config.Bootstrap,
		StateMachine: m,
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return link.Dial(address, config.Security)
		},
	})
}

func newService(config *Config, r *replica.Replica, m *machine.Machine, store *configsync.Store, pool *link.Pool) (*control.Service, error) {
	hash, err := config.operatorKeyHash()
	if err != nil {
		return nil, err
	}
	return control.New(control.Options{
		Process:         config.Process,
		Replica:         r,
		Machine:         m,
		Store:           store,
		Connections:     pool,
		OperatorKeyHash: hash,
	}), nil
}

func newRole(r *replica.Replica, service *control.Service) *Role {
	return &Role{replica: r, service: service}
}

// Register registers the services that only the control role serves.
func (r *Role) Register(server grpc.ServiceRegistrar) {
	wire.RegisterPeerServer(server, r.replica)
	r.service.Register(server)
}

// RegisterShared registers Config and Announce, which other roles can serve too. An
// entry that hosts the control role serves both itself, and passes what it receives
// to ObserveReport and ObserveProcess.
func (r *Role) RegisterShared(server grpc.ServiceRegistrar) {
	r.RegisterConfig(server)
	r.RegisterAnnounce(server)
}

// RegisterConfig registers the Config service only.
func (r *Role) RegisterConfig(server grpc.ServiceRegistrar) {
	wire.RegisterConfigServer(server, r.service.Config())
}

// RegisterAnnounce registers the Announce service only.
func (r *Role) RegisterAnnounce(server grpc.ServiceRegistrar) {
	wire.RegisterAnnounceServer(server, r.service.Announce())
}

// ObserveReport processes a gate's report that another role of the process received.
func (r *Role) ObserveReport(report *wire.GateReport) { r.service.ObserveReport(report) }

// ObserveProcess records that a process is alive, because another role of this process
// received a call from it.
func (r *Role) ObserveProcess(info *wire.ProcessInfo) { r.service.ObserveProcess(info) }

// WriteMetrics writes as metrics whether the replica is the leader, its term and log
// indexes, and the number of members.
func (r *Role) WriteMetrics(w io.Writer) {
	st := r.replica.Status()
	leads := 0
	if st.IsLeader {
		leads = 1
	}
	fmt.Fprintf(w, "control_leads %d\n", leads)
	fmt.Fprintf(w, "control_term %d\n", st.Term)
	fmt.Fprintf(w, "control_commit_index %d\n", st.Commit)
	fmt.Fprintf(w, "control_applied_index %d\n", st.Applied)
	fmt.Fprintf(w, "control_snapshot_index %d\n", st.SnapshotIndex)
	fmt.Fprintf(w, "control_members %d\n", len(st.Members))
}

// Run runs the role until ctx ends or the data folder fails. When ctx ends, a leader
// transfers its leadership, so that the group doesn't wait for an election timeout.
func (r *Role) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.replica.Run(background) }()
	go r.service.Run(background)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	r.transferLeadership(background)
	stop()
	return <-ended
}

func (r *Role) transferLeadership(ctx context.Context) {
	if !r.replica.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	_ = r.replica.TransferLeadership(ctx)
}
