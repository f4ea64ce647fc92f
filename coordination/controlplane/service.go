// Package steering takes changes of the catalogue to the leader of the control
// group, from whichever process an operator reached.
package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/steady"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"google.golang.org/grpc"
)

const (
	// foundingTime is how long a new group waits for its voters before it
	// acknowledges changes with fewer.
	foundingTime = 8 * time.Second
	// callTimeout bounds one call of the leader; operators wait a second.
	callTimeout = 900 * time.Millisecond
	// confirmInterval is the pause between two confirmations by a quorum.
	confirmInterval = 200 * time.Millisecond
	confirmTimeout  = time.Second
)

// Service serves operators.
type Service struct {
	replica   *replica.Replica // nil without a disk
	machine   *catalogue.Machine
	store     *statecache.Store
	directory *directory.Directory
	dial      func(address string) (grpc.ClientConnInterface, error)
	others    func() []string // addresses of processes that may know the leader
	voters    func() int      // that a group founded by this process must have first
	least     func() int      // reachable voters below which none is removed
	startedAt time.Time
	address   string // of this process's links
	silence   func() map[string]time.Duration

	leaderAt    time.Time // when a leader was last known; owned by Run
	removed     chan struct{}
	removedOnce sync.Once
	logger      *logs.Logger
	metrics     *metrics.Registry
}

// Options sets up a steering.
type Options struct {
	Address            string           // of this process's links
	Replica            *replica.Replica // nil without a disk
	StateMachine       *catalogue.Machine
	Store              *statecache.Store
	Directory          *directory.Directory
	Dial               func(address string) (grpc.ClientConnInterface, error)
	PeerAddresses      func() []string                 // addresses of the processes with a replica
	SinceLastHeard     func() map[string]time.Duration // since each process was last heard, by address
	BootstrapVoters    func() int                      // that a group founded by this process waits for
	Metrics            *metrics.Registry
	MinReachableVoters func() int // reachable voters below which a silent one is not removed
}

// New returns a steering.
func New(o Options) *Service {
	return &Service{
		address: o.Address, replica: o.Replica, machine: o.StateMachine, store: o.Store, directory: o.Directory,
		dial: o.Dial, others: o.PeerAddresses, silence: o.SinceLastHeard, voters: o.BootstrapVoters, least: o.MinReachableVoters,
		startedAt: time.Now(), leaderAt: time.Now(), removed: make(chan struct{}), logger: logs.For("control"), metrics: o.Metrics,
	}
}

// isFounding reports whether the group is new and still lacks voters: what it
// acknowledged now could be lost with a single disk.
func (s *Service) isFounding() bool {
	if time.Since(s.startedAt) > foundingTime {
		return false
	}
	voters := 0
	for _, m := range s.replica.Status().Members {
		if !m.Learner && !m.Removed {
			voters++
		}
	}
	return voters < s.voters()
}

// Run confirms the newest state while this process leads, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if s.replica == nil {
		return
	}
	led := false
	for s.nextConfirmation(ctx) {
		status := s.replica.Status()
		if status.IsLeader != led {
			led = status.IsLeader
			s.logger.Info().Bool("leads", led).Uint64("term", status.Term).Int("members", len(status.Members)).
				Uint64("commit", status.Commit).Msg("Leadership of the control group changed.")
		}
		if status.IsLeader {
			s.confirm(ctx)
			s.removeReplaced(ctx, status)
		}
		s.checkMembership(ctx, status)
	}
}

// nextConfirmation waits until a confirmation is due: at once when this process
// has begun to lead, as nobody serves while the state is not confirmed. It
// returns false when ctx ends.
func (s *Service) nextConfirmation(ctx context.Context) bool {
	timer := time.NewTimer(confirmInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.replica.BecameLeader():
	case <-timer.C:
	}
	return true
}

// confirm asks a quorum whether this process still leads; what its machine then
// holds was the newest when it asked.
func (s *Service) confirm(ctx context.Context) {
	asked := steady.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := s.replica.Barrier(ctx)
	s.confirmed(asked, err)
	if err != nil {
		s.logger.Repeated("confirm").Err(err).Msg("The state was not confirmed by a quorum.")
		return
	}
	s.store.Confirm(s.machine.State().Index, asked)
}

// confirmed measures how long a quorum took to confirm the state, or to fail.
func (s *Service) confirmed(asked steady.Time, err error) {
	class := "confirmed"
	if err != nil {
		class = "no_quorum"
	}
	s.metrics.Time("control_quorum_ms", metrics.Labels{Class: class}, steady.Now().Sub(asked))
}

// Install makes a catalogue the newest. It returns nil once that is durable, or
// when a catalogue as new is in force.
func (s *Service) Install(ctx context.Context, c *catalogue.Catalogue, text []byte) error {
	change, err := catalogue.Pack(c.Version, text)
	if err != nil {
		return err
	}
	outcome, err := s.change(ctx, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}})
	if err == nil && outcome.Conflict {
		err = fault.New(fault.Conflict, "version %d is in force with other content", c.Version)
	}
	s.logger.Info().Uint64("version", c.Version).Int("bytes", len(text)).Uint64("in_force", outcome.GetVersion()).
		Uint64("index", outcome.GetIndex()).Err(err).Msg("A catalogue was offered.")
	return err
}

// SetDataCentre takes a data centre out of service or back in.
func (s *Service) SetDataCentre(ctx context.Context, dataCentre string, out bool) error {
	outcome, err := s.change(ctx, &wire.Command{Of: &wire.Command_DataCentre{
		DataCentre: &wire.DataCentreChange{DataCentre: dataCentre, Out: out},
	}})
	s.logger.Info().Str("data_centre", dataCentre).Bool("out", out).Uint64("index", outcome.GetIndex()).Err(err).
		Msg("A data centre was taken out or in.")
	return err
}

// Read returns the newest catalogue's text.
func (s *Service) Read(ctx context.Context) ([]byte, error) {
	answer, err := s.ask(ctx, func(ctx context.Context, c wire.SteeringClient) (*wire.SteeringAnswer, error) {
		return c.Read(ctx, &wire.SteeringRead{})
	}, s.readLocal)
	if err != nil {
		return nil, err
	}
	state, err := catalogue.FromWire(answer.State, s.store.State(), func([]byte) (*catalogue.Catalogue, error) { return nil, nil })
	if err != nil {
		return nil, err
	}
	if state.Text == nil {
		return nil, fault.New(fault.NotCurrent, "no catalogue was installed yet").After(confirmInterval)
	}
	return state.Text, nil
}

// Announce takes an endpoint's announcement.
func (s *Service) Announce(r *wire.EndpointRecord) error {
	s.directory.Announce(r)
	return nil
}

// Leave takes an endpoint's farewell.
func (s *Service) Leave(id string) error {
	s.directory.Leave(id, 0)
	return nil
}

func (s *Service) change(ctx context.Context, command *wire.Command) (*wire.ChangeOutcome, error) {
	answer, err := s.ask(ctx, func(ctx context.Context, c wire.SteeringClient) (*wire.SteeringAnswer, error) {
		return c.Change(ctx, &wire.SteeringChange{Command: command})
	}, func(ctx context.Context) (*wire.SteeringAnswer, error) { return s.changeLocal(ctx, command) })
	if err != nil {
		return nil, err
	}
	return answer.Outcome, nil
}

// ask makes a call here when this process leads, at the leader otherwise.
func (s *Service) ask(ctx context.Context, remote remoteCall, local func(context.Context) (*wire.SteeringAnswer, error)) (*wire.SteeringAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.replica != nil && s.replica.Status().IsLeader {
		return local(ctx)
	}
	return s.askOthers(ctx, s.leaders(), remote)
}

func (s *Service) changeLocal(ctx context.Context, command *wire.Command) (*wire.SteeringAnswer, error) {
	if s.isFounding() {
		return nil, fault.New(fault.Overloaded, "the control group still waits for its first members").After(confirmInterval)
	}
	result, err := s.replica.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	switch v := result.(type) {
	case *wire.ChangeOutcome:
		return &wire.SteeringAnswer{Outcome: v}, nil
	case error:
		return nil, v
	}
	return nil, fault.New(fault.Internal, "the state machine gave a %T", result)
}

func (s *Service) readLocal(ctx context.Context) (*wire.SteeringAnswer, error) {
	if _, err := s.replica.Barrier(ctx); err != nil {
		return nil, err
	}
	return &wire.SteeringAnswer{State: s.machine.State().ToWire()}, nil
}

// Server returns the service that other processes call.
func (s *Service) Server() wire.SteeringServer { return &server{steering: s} }

type server struct {
	wire.UnimplementedSteeringServer
	steering *Service
}

// Change implements wire.SteeringServer.
func (v *server) Change(ctx context.Context, q *wire.SteeringChange) (*wire.SteeringAnswer, error) {
	return v.lead(func() (*wire.SteeringAnswer, error) { return v.steering.changeLocal(ctx, q.Command) })
}

// Read implements wire.SteeringServer.
func (v *server) Read(ctx context.Context, _ *wire.SteeringRead) (*wire.SteeringAnswer, error) {
	return v.lead(func() (*wire.SteeringAnswer, error) { return v.steering.readLocal(ctx) })
}

// lead answers when this process leads the control group.
func (v *server) lead(f func() (*wire.SteeringAnswer, error)) (*wire.SteeringAnswer, error) {
	r := v.steering.replica
	if r == nil || !r.Status().IsLeader {
		err := fault.New(fault.NotLeader, "this process does not lead the control group").After(confirmInterval)
		return &wire.SteeringAnswer{Failure: fault.ToWire(err)}, nil
	}
	answer, err := f()
	if err != nil {
		return &wire.SteeringAnswer{Failure: fault.ToWire(err)}, nil
	}
	return answer, nil
}
