// Command apricotspoke-agent runs beside an endpoint and hosts its gate, through
// which all requests to the endpoint pass.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apricotspoke/apricotspoke/role/agent"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

func main() {
	var options agent.Options
	settings.Parse("apricotspoke-agent", &options)
	logs.SetLevel(options.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, &options); err != nil {
		fmt.Fprintln(os.Stderr, "apricotspoke-agent:", err)
		logs.Flush()
		os.Exit(1)
	}
	logs.Flush()
}

func run(ctx context.Context, options *agent.Options) error {
	process, err := agent.New(options)
	if err != nil {
		return err
	}
	return process.Run(ctx)
}
