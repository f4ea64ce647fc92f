package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
	"github.com/apricotspoke/apricotspoke/trials/cluster"
	"github.com/apricotspoke/apricotspoke/trials/workload"
)

const contractTimeout = 10 * time.Second // for a stored contract to come into force at an entry

// Fleet describes the fleet of processes that a run uses.
type Fleet struct {
	Folder                 string
	Seed                   uint64
	DataCentres            int
	EndpointsPerDataCentre int
	Entries                int
	PrefillTokensPerSecond float64 // tokens per second
	DecodeMsPerToken       float64
	MemoryTokens           uint64
	Concurrency            int
	ColdConcurrency        int
	Policy                 string // routing policy of the entries; empty for their default
}

// Key returns the bearer key of an organisation in a run.
func Key(organisation string) string { return "key-" + organisation }

// Start starts the fleet, stores a contract for each organisation and waits until every
// entry serves requests. On an error it kills the fleet.
func (f Fleet) Start(ctx context.Context, w workload.Workload) (*cluster.Cluster, error) {
	c, err := cluster.Start(ctx, f.options())
	if err != nil {
		return nil, err
	}
	if err := putContracts(ctx, c, w); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (f Fleet) options() cluster.Options {
	o := cluster.Options{Folder: f.Folder, Seed: f.Seed, Controls: 3, Entries: f.Entries, Policy: f.Policy}
	for i := range f.DataCentres {
		name := fmt.Sprintf("dc%d", i+1)
		o.DataCentres = append(o.DataCentres, name)
		for j := range f.EndpointsPerDataCentre {
			o.Endpoints = append(o.Endpoints, cluster.EndpointOptions{
				Name:       fmt.Sprintf("%s-engine%d", name, j+1),
				DataCentre: name,
				Flags:      f.endpointFlags(len(o.Endpoints)),
			})
		}
	}
	return o
}

func (f Fleet) endpointFlags(number int) []string {
	return []string{
		"--model=m1",
		fmt.Sprintf("--prefill-rate=%g", f.PrefillTokensPerSecond),
		fmt.Sprintf("--decode-ms=%g", f.DecodeMsPerToken),
		fmt.Sprintf("--memory-tokens=%d", f.MemoryTokens),
		fmt.Sprintf("--concurrency=%d", f.Concurrency),
		fmt.Sprintf("--cold-concurrency=%d", f.ColdConcurrency),
		fmt.Sprintf("--seed=%d", f.Seed+uint64(number)),
	}
}

func putContracts(ctx context.Context, c *cluster.Cluster, w workload.Workload) error {
	for _, o := range w.Organisations {
		if err := c.PutContract(ctx, cluster.AmpleContract(o.Name, Key(o.Name))); err != nil {
			return err
		}
	}
	client := caller.New()
	defer client.Close()
	last := w.Organisations[len(w.Organisations)-1].Name
	for _, entry := range c.Entries {
		if err := c.AwaitServing(ctx, client, entry.HTTPAddress, Key(last), contractTimeout); err != nil {
			return err
		}
	}
	return nil
}
