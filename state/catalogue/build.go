package catalogue

import (
	"cmp"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// Build checks a catalogue and builds its indexes. The caller must not modify the
// catalogue afterwards. Errors are of kind InvalidRequest.
func Build(c *Catalogue) (*Catalogue, error) {
	if err := c.checkRoutes(); err != nil {
		return nil, err
	}
	if err := c.indexKeys(); err != nil {
		return nil, err
	}
	c.indexRoutes()
	c.indexPriorities()
	return c, nil
}

func invalid(format string, args ...any) error {
	return fault.New(fault.InvalidRequest, format, args...)
}

func (c *Catalogue) checkRoutes() error {
	routeNames := make(map[[2]string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return err
		}
		place := [2]string{r.Host, r.PathPrefix}
		if other, taken := routeNames[place]; taken {
			return invalid("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.PathPrefix)
		}
		routeNames[place] = r.Name
	}
	return nil
}

func (c *Catalogue) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/' {
		return invalid("the prefix %q of route %q must begin and end with a slash", r.PathPrefix, r.Name)
	}
	total := 0
	for _, share := range r.Split {
		if c.Services[share.Service] == nil {
			return invalid("route %q names the unknown service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid("route %q has a negative weight for service %q", r.Name, share.Service)
		}
		total += share.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (c *Catalogue) indexKeys() error {
	c.byKey = make(map[string]*Organisation)
	for i := range c.Organisations {
		organisation := &c.Organisations[i]
		for _, key := range organisation.Keys {
			if other := c.byKey[key]; other != nil && other != organisation {
				return invalid("organisations %q and %q share a key", other.Name, organisation.Name)
			}
			c.byKey[key] = organisation
		}
	}
	return nil
}

func (c *Catalogue) indexRoutes() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}
