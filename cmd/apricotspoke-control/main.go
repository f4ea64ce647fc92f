// Command apricotspoke-control runs a control replica in a process of its own.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

func main() {
	options := &control.ProgramOptions{}
	settings.Parse("apricotspoke-control", options)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := control.RunProgram(ctx, options); err != nil {
		fmt.Fprintln(os.Stderr, "apricotspoke-control:", err)
		logs.Flush()
		os.Exit(1)
	}
	logs.Flush()
}
