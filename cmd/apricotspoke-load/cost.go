package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/cost"
)

type costCommand struct {
	Sizes         []int         `long:"size" default:"10" default:"40" default:"80" description:"number of endpoints, each with an agent; repeat to measure several sizes"`
	Entries       int           `long:"entries" default:"2" description:"number of entries"`
	Organisations int           `long:"organisations" default:"10" description:"organisations, each with a contract"`
	Settle        time.Duration `long:"settle" default:"10s" description:"waiting time before the measurement"`
	Measure       time.Duration `long:"measure" default:"20s" description:"duration of the measurement"`
}

// Execute measures the control plane's cost in fleets of several sizes.
func (c *costCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	samples, err := cost.Run(ctx, cost.Options{
		Sizes: c.Sizes, Entries: c.Entries, Organisations: c.Organisations, SettleTime: c.Settle, MeasureTime: c.Measure,
	})
	cost.Print(os.Stdout, samples)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
