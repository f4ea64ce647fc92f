// Package controlplane serves operators in every control process. It forwards
// reads and changes of the catalogue and of the data centres in service to the
// leader of the control group. The gRPC service for this is called Steering on the
// wire. In the leader, the package also has a quorum confirm the newest state.
package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"google.golang.org/protobuf/proto"
)

const (
	// bootstrapTimeout is the time after the start of this process during which it
	// rejects changes while the group has fewer voters than BootstrapVoters. After
	// it, changes are accepted with fewer voters, so that a group that has lost
	// voters, or never gets all of them, can still be changed. A larger value rejects
	// changes in such a group for longer after each start of its leader's process; a
	// smaller one accepts them in a new group that may still lose them.
	bootstrapTimeout = 8 * time.Second
	// callTimeout bounds a call to the leader. It is shorter than the second for
	// which operators wait.
	callTimeout = 900 * time.Millisecond
	// confirmInterval is the pause between two confirmations of the state by a
	// quorum. Callers are also asked to retry after this time.
	confirmInterval = 200 * time.Millisecond
	// confirmTimeout bounds one confirmation. It equals the age up to which package
	// statecache takes a confirmation for fresh; one that takes longer would no longer
	// be fresh on arrival. Run does nothing else while it waits for a confirmation.
	confirmTimeout = time.Second
	// overtakenRetryAfter is the Retry-After of an order that a later one has overtaken.
	// The newer state usually arrives within it.
	overtakenRetryAfter = 100 * time.Millisecond
)

// Service is the control plane of one process. It implements platform.Operations.
type Service struct {
	replica         *replica.Replica // nil if the process has no data folder
	stateMachine    *catalogue.Machine
	store           *statecache.Store
	directory       *directory.Directory
	connections     connections.Pool // to the other processes
	peerAddresses   func() []string  // addresses of the other processes with a replica
	bootstrapVoters func() int       // see Options
	startedAt       time.Time
	address         string // at which other processes reach this one
	sinceLastHeard  func() map[string]time.Duration
	deliver         func(ctx context.Context) error // see Options.AwaitDelivery

	membershipTimerStart time.Time     // time from which membershipCheckAfter counts; owned by watchMembership
	removed              chan struct{} // closed by checkMembership; see Removed
	removedOnce          sync.Once
	logger               *logs.Logger
	metrics              *metrics.Registry
}

// Options configures a Service.
type Options struct {
	Address         string           // at which other processes reach this one
	Replica         *replica.Replica // nil if the process has no data folder
	StateMachine    *catalogue.Machine
	Store           *statecache.Store
	Directory       *directory.Directory
	Connections     connections.Pool                // to the other processes
	PeerAddresses   func() []string                 // addresses of the other processes with a replica
	SinceLastHeard  func() map[string]time.Duration // time since each process was last heard, by its address
	AwaitDelivery   func(ctx context.Context) error // waits until the directory's updates so far survive the loss of this process
	BootstrapVoters func() int                      // number of voters that a new group needs before it accepts changes
	Metrics         *metrics.Registry
}

// New returns a Service. Run must be called for it to confirm the state.
func New(o Options) *Service {
	return &Service{
		address: o.Address, replica: o.Replica, stateMachine: o.StateMachine, store: o.Store, directory: o.Directory,
		connections: o.Connections, peerAddresses: o.PeerAddresses, sinceLastHeard: o.SinceLastHeard, deliver: o.AwaitDelivery, bootstrapVoters: o.BootstrapVoters,
		startedAt: time.Now(), membershipTimerStart: time.Now(), removed: make(chan struct{}), logger: logs.For("control"), metrics: o.Metrics,
	}
}

// isBootstrapping reports whether the group has fewer voters than a new group needs,
// within bootstrapTimeout of the start of this process. A change that a group of one
// voter acknowledges could be lost with a single disk.
func (s *Service) isBootstrapping() bool {
	if time.Since(s.startedAt) > bootstrapTimeout {
		return false
	}
	return replica.CountVoters(s.replica.Status().Members) < s.bootstrapVoters()
}

// Run confirms the newest state while this process leads, and checks this replica's
// membership. It returns when ctx ends, or at once if the process has no replica.
func (s *Service) Run(ctx context.Context) {
	if s.replica == nil {
		return
	}
	var membership sync.WaitGroup
	defer membership.Wait()
	membership.Go(func() { s.watchMembership(ctx) })
	wasLeader := false
	for s.waitForConfirmation(ctx) {
		s.reportStandstill()
		status := s.replica.Status()
		if status.IsLeader != wasLeader {
			wasLeader = status.IsLeader
			s.logger.Info().Bool("leads", wasLeader).Uint64("term", status.Term).Int("members", len(status.Members)).
				Uint64("commit", status.Commit).Msg("Leadership of the control group changed.")
		}
		if status.IsLeader {
			s.confirm(ctx)
		}
	}
}

// waitForConfirmation waits until the next confirmation is due. It returns early when
// this process has become the leader and can confirm reads, since no process serves
// requests while the state is not confirmed. It returns false when ctx ends.
func (s *Service) waitForConfirmation(ctx context.Context) bool {
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

// confirm asks a quorum whether this process still leads. If so, the state of its
// state machine was the newest when it asked.
func (s *Service) confirm(ctx context.Context) {
	requestedAt := monotonic.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := s.replica.Barrier(ctx)
	s.recordConfirmation(requestedAt, err)
	if err != nil {
		s.logger.RateLimitedWarn("confirm").Err(err).Msg("No quorum confirmed the state.")
		return
	}
	s.store.Confirm(s.stateMachine.State().Index, requestedAt)
}

// recordConfirmation records how long a confirmation by a quorum took, or a failure
// to obtain one.
func (s *Service) recordConfirmation(requestedAt monotonic.Time, err error) {
	class := "confirmed"
	if err != nil {
		class = "no_quorum"
	}
	s.metrics.ObserveDuration("control_quorum_ms", metrics.Labels{Class: class}, monotonic.Now().Sub(requestedAt))
}

// Install replaces the catalogue with c, whose encoded form is text. The caller has checked
// c, as no replica checks a change that is committed. Install returns nil
// once the change is durable, or if the same or a newer version is in effect. If
// the same version is in effect with other content, it fails with Conflict.
func (s *Service) Install(ctx context.Context, c *catalogue.Catalogue, text []byte) error {
	change, err := catalogue.Pack(c.Version, text)
	if err != nil {
		return err
	}
	if s.replica != nil {
		s.stateMachine.Offer(change, text, c)
	}
	outcome, err := s.change(ctx, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}})
	if err == nil && outcome.Conflict {
		err = fault.New(fault.Conflict, "version %d is in effect with other content", c.Version)
	}
	// The field in_force is the version in effect after the change.
	s.logger.Info().Uint64("version", c.Version).Int("bytes", len(text)).Uint64("in_force", outcome.GetVersion()).
		Uint64("index", outcome.GetIndex()).Err(err).Msg("A catalogue was submitted.")
	return err
}

// StateIndex returns the log index of the newest state that this process knows, which may
// not be decoded yet.
func (s *Service) StateIndex() uint64 {
	return max(s.store.State().Index, s.stateMachine.State().Index)
}

// SetDataCentre takes a data centre out of service if out is set, and puts it back
// into service otherwise. givenAt is the index of the state on which the operator gave
// the order. If there has been a later order for the data centre since, the order is not
// carried out and the error is NotCurrent.
func (s *Service) SetDataCentre(ctx context.Context, dataCentre string, out bool, givenAt uint64) error {
	outcome, err := s.change(ctx, &wire.Command{Of: &wire.Command_DataCentre{
		DataCentre: &wire.DataCentreChange{DataCentre: dataCentre, Out: out, Operation: rand.Uint64() | 1, GivenAt: &givenAt},
	}})
	s.logger.Info().Str("data_centre", dataCentre).Bool("out", out).Uint64("given_at", givenAt).Uint64("index", outcome.GetIndex()).Err(err).
		Msg("An operator has requested to take a data centre out of service or put it back.")
	return err
}

// Quarantine records that endpoints of a service end under a part of prompts.
func (s *Service) Quarantine(ctx context.Context, q catalogue.QuarantinedPart) error {
	change := &wire.QuarantineChange{Key: q.Key, Service: q.Service, Id: q.ID, Final: q.Final}
	return s.changeQuarantine(ctx, change, "A quarantine of a part of prompts was submitted.")
}

// LiftQuarantine ends the quarantine of a part, unless it is final and byOperator is not
// set. If the quarantine was recorded after the state that this process knows, it stays
// and the error is NotCurrent.
func (s *Service) LiftQuarantine(ctx context.Context, part uint64, byOperator bool) error {
	givenAt := s.store.State().Index // on which the lift was decided
	change := &wire.QuarantineChange{Key: part, Lift: true, ByOperator: byOperator, GivenAt: &givenAt}
	return s.changeQuarantine(ctx, change, "The end of the quarantine of a part of prompts was submitted.")
}

func (s *Service) changeQuarantine(ctx context.Context, change *wire.QuarantineChange, message string) error {
	outcome, err := s.change(ctx, &wire.Command{Of: &wire.Command_Quarantine{Quarantine: change}})
	s.logger.Warn().Uint64("part", change.Key).Str("service", change.Service).Str("id", change.Id).Bool("final", change.Final).
		Bool("by_operator", change.ByOperator).Uint64("index", outcome.GetIndex()).Err(err).Msg(message)
	return err
}

// Read returns the encoded form of the newest catalogue, as confirmed by a quorum.
func (s *Service) Read(ctx context.Context) ([]byte, error) {
	answer, err := s.callLeader(ctx, func(ctx context.Context, c wire.SteeringClient) (*wire.SteeringAnswer, error) {
		return c.Read(ctx, &wire.SteeringRead{})
	}, s.readLocal)
	if err != nil {
		return nil, err
	}
	// Only the text is returned, so the decoder passed here decodes nothing.
	state, err := catalogue.FromWire(answer.State, s.store.State(), func([]byte) (*catalogue.Catalogue, error) { return nil, nil })
	if err != nil {
		return nil, err
	}
	if state.Text == nil {
		return nil, fault.New(fault.NotCurrent, "no catalogue has been installed yet").WithRetryAfter(confirmInterval)
	}
	return state.Text, nil
}

// Announce records an endpoint's announcement in the directory. If the endpoint is not
// ready, it returns nil once the news survives the loss of this process.
func (s *Service) Announce(ctx context.Context, r *wire.EndpointRecord) error {
	s.directory.Announce(r)
	if r.Condition == wire.EndpointCondition_ENDPOINT_CONDITION_READY {
		return nil // the endpoint repeats it
	}
	return s.awaitDelivery(ctx, r.Id)
}

// Incarnation returns the start of the incarnation of an endpoint that this process knows,
// in Unix ms of the endpoint's clock; 0 if it knows none.
func (s *Service) Incarnation(endpoint string) (bornMs uint64) {
	return s.directory.Incarnation(endpoint)
}

// RemoveEndpoint marks an incarnation of an endpoint as gone in the directory, or the one
// that runs if bornMs is 0. It returns nil once the news survives the loss of this process.
func (s *Service) RemoveEndpoint(ctx context.Context, id string, bornMs uint64) error {
	s.directory.Leave(id, bornMs)
	return s.awaitDelivery(ctx, id)
}

// awaitDelivery waits until other processes know that an endpoint drains or is gone. An
// endpoint whose leave is acknowledged may say nothing more.
func (s *Service) awaitDelivery(ctx context.Context, endpoint string) error {
	began := monotonic.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.deliver(ctx)
	class, line := "confirmed", s.logger.Info()
	if err != nil {
		class, line = "unconfirmed", s.logger.Warn()
	}
	waited := monotonic.Since(began)
	s.metrics.ObserveDuration("control_leave_ms", metrics.Labels{Class: class}, waited)
	line.Str("endpoint", endpoint).Dur("waited", waited).Err(err).Msg("An endpoint's leave was told to other processes.")
	return err
}

// change proposes a command on the leader and returns its outcome. If a later change has
// overtaken it, the error is NotCurrent.
func (s *Service) change(ctx context.Context, command *wire.Command) (*wire.ChangeOutcome, error) {
	own := proto.CloneOf(command) // the replica sets its time
	answer, err := s.callLeader(ctx, func(ctx context.Context, c wire.SteeringClient) (*wire.SteeringAnswer, error) {
		return c.Change(ctx, &wire.SteeringChange{Command: command})
	}, func(ctx context.Context) (*wire.SteeringAnswer, error) { return s.changeLocal(ctx, own) })
	if err != nil {
		return nil, err
	}
	if answer.Outcome.GetOvertaken() {
		return answer.Outcome, fault.New(fault.NotCurrent, "there has been a later change of the same matter since the state on which this one was given").
			WithRetryAfter(overtakenRetryAfter)
	}
	return answer.Outcome, nil
}

// changeLocal proposes a command to this process's replica, which must lead.
func (s *Service) changeLocal(ctx context.Context, command *wire.Command) (*wire.SteeringAnswer, error) {
	if s.isBootstrapping() {
		return nil, fault.New(fault.Overloaded, "the new control group does not have all its voters yet").WithRetryAfter(confirmInterval)
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
	return nil, fault.New(fault.Internal, "the state machine returned a result of type %T", result)
}

// readLocal returns this process's state once a quorum has confirmed that it is the
// newest.
func (s *Service) readLocal(ctx context.Context) (*wire.SteeringAnswer, error) {
	if _, err := s.replica.Barrier(ctx); err != nil {
		return nil, err
	}
	return &wire.SteeringAnswer{State: s.stateMachine.State().ToWire()}, nil
}

// Server returns the gRPC service that other control processes call.
func (s *Service) Server() wire.SteeringServer { return &server{service: s} }

type server struct {
	wire.UnimplementedSteeringServer
	service *Service
}

// Change implements wire.SteeringServer.
func (s *server) Change(ctx context.Context, q *wire.SteeringChange) (*wire.SteeringAnswer, error) {
	return s.ifLeader(func() (*wire.SteeringAnswer, error) { return s.service.changeLocal(ctx, q.Command) })
}

// Read implements wire.SteeringServer.
func (s *server) Read(ctx context.Context, _ *wire.SteeringRead) (*wire.SteeringAnswer, error) {
	return s.ifLeader(func() (*wire.SteeringAnswer, error) { return s.service.readLocal(ctx) })
}

// ifLeader calls f if this process leads the control group, and returns a failure
// otherwise.
func (s *server) ifLeader(f func() (*wire.SteeringAnswer, error)) (*wire.SteeringAnswer, error) {
	r := s.service.replica
	if r == nil || !r.Status().IsLeader {
		err := fault.New(fault.NotLeader, "this process does not lead the control group").WithRetryAfter(confirmInterval)
		return &wire.SteeringAnswer{Failure: fault.ToWire(err)}, nil
	}
	began := time.Now()
	answer, err := f()
	s.service.reportSlowCall(time.Since(began), err)
	if err != nil {
		return &wire.SteeringAnswer{Failure: fault.ToWire(err)}, nil
	}
	return answer, nil
}
