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
	"github.com/go-chi/chi/v5"
	"google.golang.org/grpc"
)

const (
	stopTimeout       = 5 * time.Second // for calls that run when the process is told to stop
	readHeaderTimeout = 5 * time.Second
)

// ProgramOptions are the settings of apricotspoke-control.
type ProgramOptions struct {
	ID         string       `long:"id" env:"APRICOTSPOKE_ID" required:"yes" description:"Name of this process"`
	DataCentre string       `long:"data-centre" env:"APRICOTSPOKE_DATA_CENTRE" required:"yes" description:"Data centre of this process"`
	Listen     string       `long:"listen" env:"APRICOTSPOKE_LISTEN" required:"yes" description:"gRPC address, as the fleet reaches it"`
	Control    []string     `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," required:"yes" description:"gRPC addresses of the control replicas; repeat for each"`
	HTTPListen string       `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"Address of /metrics, /healthz and /readyz"`
	LogLevel   string       `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"Least level of the lines logged: debug, info, warn or error"`
	Links      link.Options `group:"Links"`
	Options
}

// Check returns every fault of the settings.
func (o *ProgramOptions) Check() []error {
	o.Control = settings.SplitList(o.Control)
	faults := settings.Errors(append(o.Options.Check(), o.Links.Check()...))
	if !o.Enabled() {
		faults.Add("data-folder", "a folder on a disk is needed")
	}
	faults.CheckAddress("listen", o.Listen)
	faults.CheckAddresses("control", o.Control)
	if o.HTTPListen != "" {
		faults.CheckAddress("http-listen", o.HTTPListen)
	}
	if err := logs.CheckLevel(o.LogLevel); err != nil {
		faults = append(faults, err)
	}
	return faults
}

// RunProgram runs apricotspoke-control until ctx ends.
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
	web := newHTTPServer(o.HTTPListen, store, role)
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(listener) }()
	go func() { failed <- serveHTTP(web) }()
	ended := make(chan error, 1)
	go func() { ended <- role.Run(ctx) }()
	log.Info().Str("id", o.ID).Str("listen", o.Listen).Msg("The control replica has started.")
	select {
	case err = <-ended:
	case err = <-failed:
		cancel()
		<-ended
	}
	_ = web.Close()
	stopServer(server)
	log.Info().Str("id", o.ID).Msg("The control replica has stopped.")
	return err
}

// stopServer lets running calls end, up to a limit.
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
	return &http.Server{Addr: address, Handler: router, ReadHeaderTimeout: readHeaderTimeout}
}

// serveHTTP returns an error when the address is set and can't be served.
func serveHTTP(server *http.Server) error {
	if server.Addr == "" {
		select {}
	}
	return server.ListenAndServe()
}
