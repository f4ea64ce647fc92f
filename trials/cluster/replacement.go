package cluster

import (
	"errors"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// StartReplacement starts another agent for the endpoint with an index. The endpoint
// announces itself to the new agent only after a call of AnnounceTo.
func (c *Cluster) StartReplacement(name string, endpoint int) (*Agent, error) {
	agent := &Agent{}
	var errs []error
	for _, address := range []*string{&agent.Address, &agent.HTTPAddress, &agent.AnnounceAddress} {
		var err error
		*address, err = loopback.ReserveAddress()
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	env, err := c.environment(name, append(c.controlTargets(), c.entryTargets()...))
	if err != nil {
		return nil, err
	}
	c.planAgent(name, c.options.Endpoints[endpoint].DataCentre, agent, env)
	c.replacements = append(c.replacements, agent)
	return agent, agent.Start()
}
