// Package cost measures the processor time, memory and I/O that the processes of a fleet
// use without any requests, at several fleet sizes, and fits a line to each figure over
// the number of endpoints.
package cost

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/cluster"
)

// Options describes an experiment.
type Options struct {
	Sizes         []int // numbers of endpoints; each endpoint has an agent
	Entries       int
	Organisations int
	SettleTime    time.Duration // wait before the measurement, with the fleet ready and the contracts stored
	MeasureTime   time.Duration
}

// Sample is what the processes of one role used at one fleet size, as a mean per process.
type Sample struct {
	Role      string
	Endpoints int
	CPUCores  float64 // mean number of cores in use
	MemoryMB  float64 // resident, at the end of the measurement
	ReadKBps  float64
	WriteKBps float64
}

// roleProcesses are the processes of one role in a fleet.
type roleProcesses struct {
	name      string
	processes []*cluster.Process
}

// Run measures each size with a new fleet. On an error it also returns the samples of
// the sizes before.
func Run(ctx context.Context, o Options) ([]Sample, error) {
	var samples []Sample
	for _, size := range o.Sizes {
		found, err := measure(ctx, o, size)
		if err != nil {
			return samples, err
		}
		samples = append(samples, found...)
	}
	return samples, nil
}

func measure(ctx context.Context, o Options, size int) ([]Sample, error) {
	folder, err := os.MkdirTemp("", "apricotspoke-cost-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	fleet, err := cluster.Start(ctx, fleetOptions(o, size, filepath.Join(folder, "fleet")))
	if err != nil {
		return nil, err
	}
	for i := range o.Organisations {
		name := fmt.Sprintf("organisation%d", i)
		if err := fleet.PutContract(ctx, cluster.AmpleContract(name, "key-"+name)); err != nil {
			fleet.Kill()
			return nil, err
		}
	}
	time.Sleep(o.SettleTime)
	samples, err := sample(fleet, o, size)
	return samples, errors.Join(err, fleet.Stop())
}

func fleetOptions(o Options, size int, folder string) cluster.Options {
	options := cluster.Options{Folder: folder, Controls: 3, Entries: o.Entries, DataCentres: []string{"dc1", "dc2", "dc3"}}
	for i := range size {
		options.Endpoints = append(options.Endpoints, cluster.EndpointOptions{
			Name:       fmt.Sprintf("engine%d", i+1),
			DataCentre: options.DataCentres[i%len(options.DataCentres)],
			Flags:      []string{"--model=m1", "--memory-tokens=600000", "--concurrency=32", "--cold-concurrency=2"},
		})
	}
	return options
}

func sample(fleet *cluster.Cluster, o Options, size int) ([]Sample, error) {
	roles := rolesOf(fleet)
	before, err := usages(roles)
	if err != nil {
		return nil, err
	}
	time.Sleep(o.MeasureTime)
	after, err := usages(roles)
	if err != nil {
		return nil, err
	}
	samples := make([]Sample, 0, len(roles))
	for i, role := range roles {
		samples = append(samples, average(role.name, size, before[i], after[i], o.MeasureTime))
	}
	return samples, nil
}

func rolesOf(fleet *cluster.Cluster) []roleProcesses {
	control, entry, agent := roleProcesses{name: "control"}, roleProcesses{name: "entry"}, roleProcesses{name: "agent"}
	for _, c := range fleet.Controls {
		control.processes = append(control.processes, c.Process)
	}
	for _, e := range fleet.Entries {
		entry.processes = append(entry.processes, e.Process)
	}
	for _, e := range fleet.Endpoints {
		agent.processes = append(agent.processes, e.Agent.Process)
	}
	return []roleProcesses{control, entry, agent}
}

// usages reads the usage of each process, by role.
func usages(roles []roleProcesses) ([][]cluster.Usage, error) {
	all := make([][]cluster.Usage, len(roles))
	for i, role := range roles {
		for _, p := range role.processes {
			u, err := p.Usage()
			if err != nil {
				return nil, err
			}
			all[i] = append(all[i], u)
		}
	}
	return all, nil
}

func average(role string, size int, before, after []cluster.Usage, over time.Duration) Sample {
	s := Sample{Role: role, Endpoints: size}
	count := float64(len(after))
	for i, u := range after {
		s.CPUCores += (u.CPUTime - before[i].CPUTime).Seconds() / over.Seconds() / count
		s.MemoryMB += float64(u.ResidentBytes) / 1e6 / count
		s.ReadKBps += float64(u.ReadBytes-before[i].ReadBytes) / 1e3 / over.Seconds() / count
		s.WriteKBps += float64(u.WrittenBytes-before[i].WrittenBytes) / 1e3 / over.Seconds() / count
	}
	return s
}
