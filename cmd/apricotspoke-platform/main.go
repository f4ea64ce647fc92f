// Command apricotspoke-platform runs one process of a fleet, in the role "entry"
// or "control", on a platform that provides the process's settings in a file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/apricotspoke/apricotspoke/platform"
	"github.com/apricotspoke/apricotspoke/role/host"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Role struct {
		Name string `positional-arg-name:"role" choice:"entry" choice:"control" required:"true"`
	} `positional-args:"true" required:"true"`
	MetricsPort int    `long:"metrics-port" default:"0" description:"port on the host's address that serves metrics as text; 0 for none"`
	LogLevel    string `long:"log-level" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // go-flags has printed the error
	}
	if err := logs.CheckLevel(o.LogLevel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	logs.SetLevel(o.LogLevel)
	runtime.GOMAXPROCS(1) // the process has one core: further threads could not run in parallel, and waking them costs time
	if err := run(&o); err != nil {
		logs.For(o.Role.Name).Error().Err(err).Msg("The process has failed.")
		logs.Flush()
		os.Exit(1)
	}
	logs.Flush()
}

func run(o *options) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	settings.Process.MetricsPort = o.MetricsPort
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if o.Role.Name == "control" {
		return host.RunControl(ctx, settings, reloadSignals())
	}
	return host.RunEntry(ctx, settings, reloadSignals())
}

// reloadSignals returns a channel that gets a value after a SIGHUP, on which the
// settings are read again. Signals that arrive while others are pending may be
// dropped.
func reloadSignals() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reloads := make(chan struct{})
	go func() {
		for range signals {
			reloads <- struct{}{}
		}
	}()
	return reloads
}
