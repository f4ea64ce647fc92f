package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/experiment"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

// idleTimeout limits how long CheckInvariants waits, after the last answer, until
// no attempt runs at the endpoints and none of their memory is in use.
const idleTimeout = 30 * time.Second

type runCommand struct {
	Workload        string        `long:"workload" env:"APRICOTSPOKE_WORKLOAD" default:"kartuli" description:"workload, the organisations and the mix of prompt lengths: kartuli, kitamura or target"`
	Rate            float64       `long:"rate" env:"APRICOTSPOKE_RATE" default:"20" description:"requests per second"`
	Duration        time.Duration `long:"duration" env:"APRICOTSPOKE_DURATION" default:"20s" description:"time during which requests are sent"`
	Seed            uint64        `long:"seed" env:"APRICOTSPOKE_SEED" default:"1" description:"seed of the requests and of the fleet"`
	DataCentres     int           `long:"data-centres" env:"APRICOTSPOKE_DATA_CENTRES" default:"3" description:"number of data centres"`
	Endpoints       int           `long:"endpoints" env:"APRICOTSPOKE_ENDPOINTS" default:"2" description:"number of endpoints in each data centre"`
	Entries         int           `long:"entries" env:"APRICOTSPOKE_ENTRIES_COUNT" default:"2" description:"number of entries"`
	PrefillRate     float64       `long:"prefill-rate" env:"APRICOTSPOKE_PREFILL_RATE" default:"200000" description:"prefill of each endpoint in tokens per second"`
	DecodeMs        float64       `long:"decode-ms" env:"APRICOTSPOKE_DECODE_MS" default:"5" description:"milliseconds for each generated token"`
	MemoryTokens    uint64        `long:"memory-tokens" env:"APRICOTSPOKE_MEMORY_TOKENS" default:"1200000" description:"memory of each endpoint in tokens"`
	Concurrency     int           `long:"concurrency" env:"APRICOTSPOKE_CONCURRENCY" default:"32" description:"concurrent attempts on each endpoint when warm"`
	ColdConcurrency int           `long:"cold-concurrency" env:"APRICOTSPOKE_COLD_CONCURRENCY" default:"2" description:"concurrent attempts on each endpoint after a start"`
	Policy          string        `long:"policy" env:"APRICOTSPOKE_POLICY" default:"adaptive" description:"routing policy of the entries"`
	JSON            string        `long:"json" env:"APRICOTSPOKE_JSON" description:"file for the JSON report"`
	Plot            string        `long:"plot" env:"APRICOTSPOKE_PLOT" description:"file for the plot, .svg or .png"`
}

// Execute starts a fleet, runs the workload, prints a report and saves it. The
// folder with the logs is removed only if all of this succeeded, no invariant was
// broken and no answer was wrong or failed.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	w, err := workload.Named(c.Workload)
	if err != nil {
		return err
	}
	if c.Rate <= 0 || c.DataCentres < 1 || c.Endpoints < 1 || c.Entries < 1 {
		return errors.New("--rate, --data-centres, --endpoints and --entries must be above 0")
	}
	folder, err := os.MkdirTemp("", "apricotspoke-run-")
	if err != nil {
		return err
	}
	report, err := c.run(ctx, w, folder)
	if err != nil {
		return fmt.Errorf("logs in %s: %w", folder, err)
	}
	if err := c.saveFiles(report); err != nil {
		return err
	}
	if faulty := report.WrongOrFailed(); faulty > 0 {
		return fmt.Errorf("%d answers were wrong or failed; logs in %s", faulty, folder)
	}
	return os.RemoveAll(folder)
}

func (c *runCommand) run(ctx context.Context, w workload.Workload, folder string) (experiment.Report, error) {
	fleet, err := c.fleetOptions(folder).Start(ctx, w)
	if err != nil {
		return experiment.Report{}, err
	}
	run := experiment.Run{
		Model:   "m1",
		Key:     experiment.Key,
		Prompts: workload.NewPrompts(c.Seed),
		Plan:    w.Plan(c.Seed, c.Rate, c.Duration),
	}
	for _, entry := range fleet.Entries {
		run.Entries = append(run.Entries, entry.HTTPAddress)
	}
	report := run.Do(ctx).Report(w.Name, c.Seed, c.Rate)
	report.Print(os.Stdout)
	invariants := fleet.CheckInvariants(ctx, idleTimeout)
	return report, errors.Join(invariants, fleet.Stop())
}

// fleetOptions describes the fleet that the flags ask for. It is not started yet.
func (c *runCommand) fleetOptions(folder string) experiment.Fleet {
	return experiment.Fleet{
		Folder:                 folder,
		Seed:                   c.Seed,
		DataCentres:            c.DataCentres,
		EndpointsPerDataCentre: c.Endpoints,
		Entries:                c.Entries,
		PrefillTokensPerSecond: c.PrefillRate,
		DecodeMsPerToken:       c.DecodeMs,
		MemoryTokens:           c.MemoryTokens,
		Concurrency:            c.Concurrency,
		ColdConcurrency:        c.ColdConcurrency,
		Policy:                 c.Policy,
	}
}

// saveFiles writes the files that --json and --plot name, if any.
func (c *runCommand) saveFiles(report experiment.Report) error {
	var errs []error
	if c.JSON != "" {
		errs = append(errs, report.Save(c.JSON))
	}
	if c.Plot != "" {
		errs = append(errs, report.Plot(c.Plot))
	}
	return errors.Join(errs...)
}
