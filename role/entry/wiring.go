package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/claims"
	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/coordination/relay"
	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/callerhttp"
	"github.com/apricotspoke/apricotspoke/transport/controllink"
	"github.com/apricotspoke/apricotspoke/transport/gatelink"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"go.uber.org/dig"
	"google.golang.org/grpc"
)

// Build wires an entry. It hosts the control role if the settings enable it. extra
// constructors may provide types that the entry doesn't provide itself; the container
// refuses a second constructor of a type.
func Build(options *Options, extra ...any) (*Entry, error) {
	container := dig.New()
	constructors := []any{
		func() *Options { return options },
		func() *logs.Logger { return logs.For("entry") },
		configsync.NewStore,
		routing.NewTable,
		metrics.New,
		relay.NewRetryBudget,
		callerhttp.NewBodyBudget,
		callerhttp.NewDrain,
		newSecurity, newPool, newPolicy, newRouter, newControlClient, newLinks, newQuota,
		newRelay, newExecutor, newFollower, newCallerServer, newFleetServer, newEntry,
	}
	if options.ControlRole.Enabled() {
		constructors = append(constructors, newControlRole)
	}
	for _, constructor := range append(constructors, extra...) {
		if err := container.Provide(constructor); err != nil {
			return nil, fmt.Errorf("wiring: %w", err)
		}
	}
	var entry *Entry
	err := container.Invoke(func(e *Entry) { entry = e })
	return entry, dig.RootCause(err)
}

// newSecurity loads the TLS files for the links to other processes.
func newSecurity(o *Options) (link.Security, error) { return o.Links.Security() }

func newPool(security link.Security) *link.Pool { return link.NewPool(security) }

func newPolicy(o *Options) (routing.Policy, error) { return routing.NewPolicy(o.Policy) }

func newRouter(table *routing.Table, policy routing.Policy, registry *metrics.Registry) *routing.Router {
	router := routing.NewRouter(table, policy)
	registry.AddCollector(func(w io.Writer) {
		router.Dropped(func(filter string, count int64) {
			fmt.Fprintf(w, "entry_routing_dropped{filter=%q} %d\n", filter, count)
		})
	})
	return router
}

func newControlClient(pool *link.Pool, o *Options) *controllink.Client {
	return controllink.NewClient(pool, o.Control)
}

func newLinks(pool *link.Pool, registry *metrics.Registry) (*gatelink.Links, relay.Gates) {
	links := gatelink.New(context.Background(), pool)
	registry.AddCollector(func(w io.Writer) { fmt.Fprintf(w, "entry_links_replaced %d\n", links.Replaced()) })
	return links, links
}

func newQuota(o *Options, client *controllink.Client) *admission.Quota {
	return admission.NewQuota(o.ID, client)
}

func newRelay(gates relay.Gates, store *configsync.Store, router *routing.Router, budget *relay.RetryBudget) *relay.Relay {
	return relay.New(gates, store, router, budget)
}

func newExecutor(client *controllink.Client, gates relay.Gates, r *relay.Relay, bodies *callerhttp.BodyBudget) *claims.Executor {
	return claims.NewExecutor(client, gates, callerhttp.NewAttemptRunner(r, bodies))
}

func newFollower(store *configsync.Store, o *Options, pool *link.Pool, table *routing.Table) *configsync.Follower {
	return configsync.NewFollower(store, processInfo(o), func() []configsync.Peer { return configPeers(o, pool, table) })
}

// newControlRole returns the control role of an entry that hosts it.
func newControlRole(o *Options, store *configsync.Store, pool *link.Pool, security link.Security) (Control, error) {
	role, err := control.New(&control.Config{
		Options:  o.ControlRole,
		Process:  processInfo(o),
		Peers:    o.Control,
		Security: security,
	}, store, pool)
	if err != nil {
		return nil, err
	}
	return role, nil
}

func processInfo(o *Options) *wire.ProcessInfo {
	return &wire.ProcessInfo{Id: o.ID, Role: "entry", DataCentre: o.DataCentre, Address: o.Listen}
}

// maxFallbackPeers bounds the gates that are asked for the configuration after the
// control replicas.
const maxFallbackPeers = 4

// configPeers returns the control replicas and, after them, some gates that have
// reported to this entry.
func configPeers(o *Options, pool *link.Pool, table *routing.Table) []configsync.Peer {
	addresses := slices.Clone(o.Control)
	for i, e := range table.Snapshot().Endpoints {
		if i == maxFallbackPeers {
			break
		}
		addresses = append(addresses, e.Report.GateAddress)
	}
	peers := make([]configsync.Peer, 0, len(addresses))
	for _, address := range addresses {
		peers = append(peers, controllink.NewConfigPeer(pool, address))
	}
	return peers
}

// callerComponents are the parts of the server for callers that the container builds.
type callerComponents struct {
	dig.In

	Options  *Options
	Store    *configsync.Store
	Quota    *admission.Quota
	Router   *routing.Router
	Relay    *relay.Relay
	Executor *claims.Executor
	Gates    relay.Gates
	Bodies   *callerhttp.BodyBudget
	Drain    *callerhttp.Drain
	Metrics  *metrics.Registry
	Log      *logs.Logger
}

func newCallerServer(p callerComponents, table *routing.Table) *callerhttp.Server {
	p.Metrics.AddCollector(func(w io.Writer) {
		for _, e := range table.Snapshot().Endpoints {
			// The value is the number of this entry's attempts running at the endpoint.
			fmt.Fprintf(w, "entry_endpoint{endpoint=%q} %d\n", e.Name(), e.InFlight.Running())
		}
	})
	return &callerhttp.Server{
		Store:        p.Store,
		Quota:        p.Quota,
		Router:       p.Router,
		Relay:        p.Relay,
		Claims:       p.Executor,
		Gates:        p.Gates,
		ResumeTokens: callerhttp.NewResumeTokens(p.Options.ResumeSecret),
		BodyBudget:   p.Bodies,
		Drain:        p.Drain,
		Metrics:      p.Metrics,
		Log:          p.Log,

		ReadyFrom: time.Now().Add(p.Options.ReadyWait),
	}
}

// hostedControl holds the control role, nil if this process doesn't host it.
type hostedControl struct {
	dig.In

	Control Control `optional:"true"`
}

func newFleetServer(security link.Security, store *configsync.Store, table *routing.Table, hosted hostedControl) *grpc.Server {
	server := link.NewServer(security)
	if hosted.Control == nil {
		wire.RegisterAnnounceServer(server, gatelink.NewAnnounceServer(table, nil))
		wire.RegisterConfigServer(server, controllink.NewConfigServer(store, nil))
		return server
	}
	hosted.Control.Register(server)
	wire.RegisterAnnounceServer(server, gatelink.NewAnnounceServer(table, hosted.Control.ObserveReport))
	wire.RegisterConfigServer(server, controllink.NewConfigServer(store, hosted.Control.ObserveProcess))
	return server
}
