// Command apricotspoke-entry receives callers' requests and forwards them to gates.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apricotspoke/apricotspoke/role/entry"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// memoryLimitBytes is the soft memory limit of the Go runtime. Near it the garbage
// collector runs more often, before the process uses up its memory on the host.
const memoryLimitBytes = 200 << 20

func main() {
	debug.SetMemoryLimit(memoryLimitBytes)
	options := &entry.Options{}
	settings.Parse("apricotspoke-entry", options)
	logs.SetLevel(options.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	e, err := entry.Build(options)
	if err == nil {
		err = e.Run(ctx)
	}
	if err != nil {
		logs.For("entry").Error().Err(err).Msg("The entry has failed.")
		logs.Flush()
		os.Exit(1)
	}
	logs.Flush()
}
