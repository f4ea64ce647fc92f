// Command apricotspoke-load runs a demonstration, generates load, compares runs
// and measures the control plane's cost.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apricotspoke/apricotspoke/trials/demo"
	"github.com/jessevdk/go-flags"
)

type demoCommand struct{}

// Execute runs the demonstration.
func (demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, os.Stdout)
}

type commands struct {
	Demo    demoCommand    `command:"demo" description:"start a small fleet on loopback and send it requests"`
	Run     runCommand     `command:"run" description:"run a workload against a fleet, in an open loop"`
	Compare compareCommand `command:"compare" description:"compare the JSON reports of two runs"`
	Cost    costCommand    `command:"cost" description:"measure the control plane's cost in a fleet without requests"`
}

func main() {
	parser := flags.NewNamedParser("apricotspoke-load", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Commands", "", &commands{}); err != nil {
		panic(err)
	}
	_, err := parser.Parse()
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "apricotspoke-load: %s\n", err)
		os.Exit(1)
	}
}
