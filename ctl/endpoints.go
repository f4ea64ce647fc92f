package ctl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/fleet"
	"github.com/jessevdk/go-flags"
)

const drainPoll = 500 * time.Millisecond // interval at which drain reads the status

// versioned adds a command that changes the named object, with the flag
// --expected-version.
func (a *app) versioned(parent *flags.Command, name, short string, run func(object string, expected *uint64) error) {
	data := &struct {
		versionFlag
		positionalCommand[nameArgument]
	}{}
	data.command = func() error { return run(data.Args.Name, data.Expected) }
	addCommand(parent, name, short, data)
}

func (a *app) registerDataCentres(parent *flags.Command) {
	addCommand(parent, "list", "List the data centres", &struct{ command }{a.listDataCentres})
	a.versioned(parent, "out", "Take a data centre out of service", func(name string, expected *uint64) error {
		return a.setDataCentre(name, true, expected)
	})
	a.versioned(parent, "in", "Bring a data centre back into service", func(name string, expected *uint64) error {
		return a.setDataCentre(name, false, expected)
	})
}

func (a *app) setDataCentre(name string, out bool, expected *uint64) error {
	version, err := a.resolveVersion(expected, func() (uint64, error) {
		config, err := a.readConfig()
		return fleet.NewView(config).DataCentre(name).GetVersion(), err
	})
	if err != nil {
		return err
	}
	return a.applyAndPrint(fmt.Sprintf("data centre %s %s", name, inOrOut(out)), &wire.Change{
		ExpectedVersion: version,
		Of:              &wire.Change_SetDataCentre{SetDataCentre: &wire.DataCentre{Name: name, Out: out}},
	})
}

func (a *app) listDataCentres() error {
	config, err := a.readConfig()
	if err != nil {
		return err
	}
	status, err := a.readStatus()
	if err != nil {
		return err
	}
	centres := make(map[string]*wire.DataCentre)
	endpoints := make(map[string]int)
	for _, g := range status.Gates {
		centres[g.DataCentre] = &wire.DataCentre{Name: g.DataCentre}
		endpoints[g.DataCentre]++
	}
	for _, d := range config.DataCentres {
		centres[d.Name] = d
	}
	if a.options.Output == "json" {
		list := slices.SortedFunc(maps.Values(centres), func(x, y *wire.DataCentre) int { return compareNames(x.Name, y.Name) })
		return a.printJSON(&wire.FleetConfig{Revision: config.Revision, DataCentres: list})
	}
	t := newTable(a.out, "DATA CENTRE", "STATE", "VERSION", "ENDPOINTS SEEN")
	for _, name := range slices.Sorted(maps.Keys(centres)) {
		t.row(name, inOrOut(centres[name].Out), centres[name].Version, endpoints[name])
	}
	return t.flush()
}

func (a *app) registerEndpoints(parent *flags.Command) {
	addCommand(parent, "list", "List the endpoints", &struct{ command }{a.listEndpoints})
	a.versioned(parent, "out", "Take an endpoint out of service", func(name string, expected *uint64) error {
		return a.setEndpoint(name, wire.EndpointState_ENDPOINT_STATE_OUT, expected)
	})
	a.versioned(parent, "in", "Bring an endpoint back into service", func(name string, expected *uint64) error {
		return a.setEndpoint(name, wire.EndpointState_ENDPOINT_STATE_IN, expected)
	})
	drain := &struct {
		versionFlag
		Timeout time.Duration `long:"timeout" default:"10m" description:"How long to wait for running requests"`
		positionalCommand[nameArgument]
	}{}
	drain.command = func() error { return a.drain(drain.Args.Name, drain.Expected, drain.Timeout) }
	addCommand(parent, "drain", "Give an endpoint no new work and wait until its requests have ended", drain)
}

func (a *app) setEndpoint(name string, state wire.EndpointState, expected *uint64) error {
	version, err := a.resolveVersion(expected, func() (uint64, error) {
		config, err := a.readConfig()
		return fleet.NewView(config).Endpoint(name).GetVersion(), err
	})
	if err != nil {
		return err
	}
	return a.applyAndPrint(fmt.Sprintf("endpoint %s %s", name, stateText(state)), &wire.Change{
		ExpectedVersion: version,
		Of:              &wire.Change_SetEndpoint{SetEndpoint: &wire.EndpointPolicy{Endpoint: name, State: state}},
	})
}

// drain sets the endpoint to the state "leaving", in which it gets no new work,
// and prints progress until its gate, with that change in force, reports no
// running or waiting request.
func (a *app) drain(name string, expected *uint64, timeout time.Duration) error {
	if err := a.setEndpoint(name, wire.EndpointState_ENDPOINT_STATE_LEAVING, expected); err != nil || a.options.DryRun {
		return err
	}
	config, err := a.readConfig()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	last := ""
	for time.Now().Before(deadline) {
		status, err := a.readStatus()
		if err != nil {
			return err
		}
		progress, empty := drainProgress(status.Gates, name, config.Revision)
		if progress != last {
			fmt.Fprintf(a.errOut, "endpoint %s: %s\n", name, progress)
			last = progress
		}
		if empty {
			return nil
		}
		time.Sleep(drainPoll)
	}
	return fault.New(fault.Timeout, "endpoint %q is not drained after %s (%s); it gets no new work", name, timeout, last)
}

// drainProgress describes how far an endpoint is drained, and whether it is empty.
// The report of a gate below revision doesn't count, as it may still admit work.
func drainProgress(gates []*wire.GateReport, name string, revision uint64) (progress string, empty bool) {
	for _, g := range gates {
		if g.Endpoint != name {
			continue
		}
		if g.Revision < revision {
			return fmt.Sprintf("its gate is at revision %d, waiting for %d", g.Revision, revision), false
		}
		left := g.Load.GetGateRunning() + g.Load.GetGateWaiting()
		return fmt.Sprintf("%d requests left", left), left == 0
	}
	return "no gate reports this endpoint", false
}

func (a *app) listEndpoints() error {
	config, err := a.readConfig()
	if err != nil {
		return err
	}
	status, err := a.readStatus()
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(&wire.StatusResponse{Revision: config.Revision, Gates: status.Gates})
	}
	policies := make(map[string]*wire.EndpointPolicy)
	for _, e := range config.Endpoints {
		policies[e.Endpoint] = e
	}
	t := newTable(a.out, "ENDPOINT", "DATA CENTRE", "STATE", "VERSION", "READY", "COLD", "RUNNING", "WAITING", "SERVES")
	for _, g := range status.Gates {
		policy := policies[g.Endpoint]
		delete(policies, g.Endpoint)
		t.row(g.Endpoint, g.DataCentre, stateText(policy.GetState()), policy.GetVersion(), yesNo(g.Ready), yesNo(g.Cold),
			g.Load.GetGateRunning(), g.Load.GetGateWaiting(), servedText(g))
	}
	for _, name := range slices.Sorted(maps.Keys(policies)) {
		t.row(name, "-", stateText(policies[name].State), policies[name].Version, "not seen", "-", "-", "-", "-")
	}
	return t.flush()
}
