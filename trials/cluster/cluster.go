package cluster

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

const (
	readyTimeout    = 30 * time.Second // for the whole fleet
	shutdownTimeout = 20 * time.Second // for each process, which is killed after it
)

// Options describes a fleet. At least one data centre must be given.
type Options struct {
	Folder      string // for data folders and logs; created if missing
	Seed        uint64 // of the fault proxies; without effect unless Proxied is set
	Controls    int    // number of control replicas
	Entries     int
	Policy      string   // routing policy of the entries; empty for their default
	DataCentres []string // control replicas and entries are assigned to them in turn
	Endpoints   []EndpointOptions
	Proxied     bool       // puts a fault proxy on each link between processes
	Authority   *Authority // issues a certificate for each process; nil for links in plain text
}

// EndpointOptions describes a fake endpoint and its agent, which share the data centre.
type EndpointOptions struct {
	Name       string
	DataCentre string
	Flags      []string // more flags of apricotspoke-fakeendpoint, such as --model=m1
}

// Control is a control replica.
type Control struct {
	*Process
	Address     string // for links from other processes
	HTTPAddress string
	DataFolder  string
}

// Entry is an entry.
type Entry struct {
	*Process
	Address     string // for links from other processes
	HTTPAddress string // for callers, /readyz and metrics
}

// Endpoint is a fake endpoint with its agent.
type Endpoint struct {
	*Process
	Agent       *Agent
	DataCentre  string
	HTTPAddress string
}

// Agent is the agent of an endpoint.
type Agent struct {
	*Process
	Address         string // for links from other processes
	HTTPAddress     string
	AnnounceAddress string // where the endpoint announces itself
}

// Cluster is a running fleet.
type Cluster struct {
	Controls  []*Control
	Entries   []*Entry
	Endpoints []*Endpoint
	Links     *Links

	replacements []*Agent
	options      Options
	operatorKey  string
	resumeSecret string
}

// Start starts a fleet and waits until it is ready. If that fails, it kills the processes
// and the error has the ends of their logs.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{options: options, operatorKey: rand.Text(), resumeSecret: rand.Text(), Links: newLinks(options.Seed)}
	if err := c.start(ctx); err != nil {
		err = errors.Join(err, c.logTails())
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := os.MkdirAll(c.options.Folder, 0o700); err != nil {
		return err
	}
	if err := c.plan(); err != nil {
		return err
	}
	for _, p := range c.processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return c.AwaitReady(ctx)
}

// plan prepares the processes and their addresses without starting the processes.
func (c *Cluster) plan() error {
	if err := c.reserveAddresses(); err != nil {
		return err
	}
	for i, control := range c.Controls {
		if err := c.planControl(i, control); err != nil {
			return err
		}
	}
	for i, entry := range c.Entries {
		if err := c.planEntry(i, entry); err != nil {
			return err
		}
	}
	for i, endpoint := range c.Endpoints {
		if err := c.planEndpoint(c.options.Endpoints[i], endpoint); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) reserveAddresses() error {
	var errs []error
	reserve := func() string {
		address, err := loopback.ReserveAddress()
		errs = append(errs, err)
		return address
	}
	for i := range c.options.Controls {
		folder := filepath.Join(c.options.Folder, fmt.Sprintf("control%d-data", i+1))
		c.Controls = append(c.Controls, &Control{Address: reserve(), HTTPAddress: reserve(), DataFolder: folder})
	}
	for range c.options.Entries {
		c.Entries = append(c.Entries, &Entry{Address: reserve(), HTTPAddress: reserve()})
	}
	for _, o := range c.options.Endpoints {
		agent := &Agent{Address: reserve(), HTTPAddress: reserve(), AnnounceAddress: reserve()}
		c.Endpoints = append(c.Endpoints, &Endpoint{Agent: agent, HTTPAddress: reserve(), DataCentre: o.DataCentre})
	}
	return errors.Join(errs...)
}

func (c *Cluster) planControl(i int, control *Control) error {
	name := controlName(i)
	env, err := c.environment(name, c.controlTargets())
	if err != nil {
		return err
	}
	keyHash := sha256.Sum256([]byte(c.operatorKey))
	flags := []string{
		"--id=" + name,
		"--data-centre=" + c.dataCentre(i),
		"--listen=" + control.Address,
		"--http-listen=" + control.HTTPAddress,
		"--data-folder=" + control.DataFolder,
		"--operator-key-hash=" + hex.EncodeToString(keyHash[:]),
		"--bootstrap",
	}
	flags = append(flags, repeatFlag("--control", c.controlTargets())...)
	control.Process = newProcess(c.options.Folder, name, "apricotspoke-control", env, flags...)
	return nil
}

func (c *Cluster) planEntry(i int, entry *Entry) error {
	name := entryName(i)
	env, err := c.environment(name, append(c.controlTargets(), c.agentTargets()...))
	if err != nil {
		return err
	}
	flags := []string{
		"--id=" + name,
		"--data-centre=" + c.dataCentre(i),
		"--listen=" + entry.Address,
		"--http-listen=" + entry.HTTPAddress,
	}
	if c.options.Policy != "" {
		flags = append(flags, "--policy="+c.options.Policy)
	}
	flags = append(flags, repeatFlag("--control", c.controlTargets())...)
	env = append(env, "APRICOTSPOKE_RESUME_SECRET="+c.resumeSecret)
	entry.Process = newProcess(c.options.Folder, name, "apricotspoke-entry", env, flags...)
	return nil
}

func (c *Cluster) planEndpoint(o EndpointOptions, endpoint *Endpoint) error {
	agentName := "agent-" + o.Name
	env, err := c.environment(agentName, append(c.controlTargets(), c.entryTargets()...))
	if err != nil {
		return err
	}
	c.planAgent(agentName, o.DataCentre, endpoint.Agent, env)
	return c.planFakeEndpoint(o, endpoint, agentName)
}

func (c *Cluster) planAgent(name, dataCentre string, agent *Agent, env []string) {
	flags := []string{
		"--id=" + name,
		"--data-centre=" + dataCentre,
		"--listen=" + agent.Address,
		"--http-listen=" + agent.HTTPAddress,
		"--announce-listen=" + agent.AnnounceAddress,
	}
	flags = append(flags, repeatFlag("--control", c.controlTargets())...)
	flags = append(flags, repeatFlag("--entries", c.entryTargets())...)
	agent.Process = newProcess(c.options.Folder, name, "apricotspoke-agent", env, flags...)
}

func (c *Cluster) planFakeEndpoint(o EndpointOptions, endpoint *Endpoint, agentName string) error {
	flags := []string{"--name=" + o.Name, "--listen=" + endpoint.HTTPAddress, "--agent=http://" + endpoint.Agent.AnnounceAddress}
	if c.options.Proxied {
		via, err := c.Links.add(agentName, o.Name, endpoint.HTTPAddress)
		if err != nil {
			return err
		}
		flags = append(flags, "--announced-address="+via)
	}
	endpoint.Process = newProcess(c.options.Folder, o.Name, "apricotspoke-fakeendpoint", nil, append(flags, o.Flags...)...)
	return nil
}

func (c *Cluster) environment(name string, targets []target) ([]string, error) {
	env, err := c.options.Authority.environment(name)
	if err != nil || !c.options.Proxied {
		return env, err
	}
	detours, err := c.Links.detourEnvironment(name, targets)
	return append(env, detours...), err
}

func (c *Cluster) dataCentre(i int) string {
	return c.options.DataCentres[i%len(c.options.DataCentres)]
}

func controlName(i int) string { return fmt.Sprintf("control%d", i+1) }

func entryName(i int) string { return fmt.Sprintf("entry%d", i+1) }

func (c *Cluster) controlTargets() []target {
	var targets []target
	for i, control := range c.Controls {
		targets = append(targets, target{controlName(i), control.Address})
	}
	return targets
}

func (c *Cluster) entryTargets() []target {
	var targets []target
	for i, entry := range c.Entries {
		targets = append(targets, target{entryName(i), entry.Address})
	}
	return targets
}

func (c *Cluster) agentTargets() []target {
	var targets []target
	for i, endpoint := range c.Endpoints {
		targets = append(targets, target{"agent-" + c.options.Endpoints[i].Name, endpoint.Agent.Address})
	}
	return targets
}

// repeatFlag returns the flag once for each target, with the target's address.
func repeatFlag(flag string, targets []target) []string {
	flags := make([]string, len(targets))
	for i, t := range targets {
		flags[i] = flag + "=" + t.address
	}
	return flags
}

// processes lists all processes in the order in which they are started; replacements of
// agents come last.
func (c *Cluster) processes() []*Process {
	var list []*Process
	for _, control := range c.Controls {
		list = append(list, control.Process)
	}
	for _, entry := range c.Entries {
		list = append(list, entry.Process)
	}
	for _, endpoint := range c.Endpoints {
		list = append(list, endpoint.Agent.Process, endpoint.Process)
	}
	for _, agent := range c.replacements {
		list = append(list, agent.Process)
	}
	return list
}

// Stop shuts down the entries, then the agents, then the control replicas, and kills the
// rest: fake endpoints and replacements of agents. It returns the errors of the processes
// that did not shut down cleanly.
func (c *Cluster) Stop() error {
	var errs []error
	for _, entry := range c.Entries {
		errs = append(errs, entry.Shutdown(shutdownTimeout))
	}
	for _, endpoint := range c.Endpoints {
		errs = append(errs, endpoint.Agent.Shutdown(shutdownTimeout))
	}
	for _, control := range c.Controls {
		errs = append(errs, control.Shutdown(shutdownTimeout))
	}
	c.Kill()
	return errors.Join(errs...)
}

// Kill kills all processes and closes the fault proxies.
func (c *Cluster) Kill() {
	for _, p := range c.processes() {
		if p != nil {
			_ = p.Kill()
		}
	}
	c.Links.close()
}
