package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/configsync"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/transport/shortcall"
	"github.com/go-chi/chi/v5"
	"google.golang.org/grpc"
)

const (
	stopTimeout       = 5 * time.Second // for calls that are running when the process stops
	readHeaderTimeout = 5 * time.Second
)

// ProgramOptions are the settings of apricotspoke-control.
type ProgramOptions struct {
	ID         string       `long:"id" env:"APRICOTSPOKE_ID" required:"yes" description:"Name of this process"`
	DataCentre string       `long:"data-centre" env:"APRICOTSPOKE_DATA_CENTRE" required:"yes" description:"Data centre of this process"`
	Listen     string       `long:"listen" env:"APRICOTSPOKE_LISTEN" required:"yes" description:"gRPC address, at which the fleet reaches this process"`
	Control    []string     `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," required:"yes" description:"gRPC addresses of the control replicas; repeat for each"`
	HTTPListen string       `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"Address of /metrics, /healthz and /readyz"`
	LogLevel   string       `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"Lowest level that is logged: debug, info, warn or error"`
	Links      link.Options `group:"Links"`
	Options
}

// Check returns all errors in the settings. It implements settings.Checker.
func (o *ProgramOptions) Check() []error {
	o.Control = settings.SplitList(o.Control)
	errs := settings.Errors(append(o.Options.Check(), o.Links.Check()...))
	if !o.Enabled() {
		errs.Add("data-folder", "is empty; set it to a folder on a disk")
	}
	errs.CheckAddress("listen", o.Listen)
	errs.CheckAddresses("control", o.Control)
	if o.HTTPListen != "" {
		errs.CheckAddress("http-listen", o.HTTPListen)
	}
	if err := logs.CheckLevel(o.LogLevel); err != nil {
		errs = append(errs, err)
	}
	return errs
}

// RunProgram runs apricotspoke-control until ctx ends, the data folder fails or a
// server fails.
func RunProgram(ctx context.Context, o *ProgramOptions) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logs.SetLevel(o.LogLevel)
	log := logs.For("control")
	store := configsync.NewStore()
	security, err := o.Links.Security()
	if err != nil {
		return err
	}
	pool := link.NewPool(security)
	defer pool.Close()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	role, err := New(&Config{
		Options:  o.Options,
		Process:  &wire.ProcessInfo{Id: o.ID, Role: "control", DataCentre: o.DataCentre, Address: o.Listen},
		Peers:    o.Control,
		Security: security,
	}, store, pool)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	server := link.NewServer(security)
	role.Register(server)
	role.RegisterShared(server)
	httpServer := newHTTPServer(o.HTTPListen, store, role)
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(listener) }()
	go func() { failed <- serveHTTP(httpServer) }()
	ended := make(chan error, 1)
	go func() { ended <- role.Run(ctx) }()
	log.Info().Str("id", o.ID).Str("listen", o.Listen).Msg("The control replica has started.")
	select {
	case err = <-ended:
	case err = <-failed:
		cancel()
		<-ended
	}
	_ = httpServer.Close()
	stopServer(server)
	log.Info().Str("id", o.ID).Msg("The control replica has stopped.")
	return err
}

// stopServer stops the server once the running calls have ended, or after
// stopTimeout.
func stopServer(server *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}

func newHTTPServer(address string, store *configsync.Store, role *Role) *http.Server {
	registry := metrics.New()
	registry.AddCollector(role.WriteMetrics)
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if _, err := store.Current(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { registry.WriteText(w) })
	server := shortcall.NewServer(router, readHeaderTimeout)
	server.Addr = address
	return server
}

// serveHTTP serves until the server is closed or fails. Without an address it never
// returns.
func serveHTTP(server *http.Server) error {
	if server.Addr == "" {
		select {}
	}
	return server.ListenAndServe()
}
