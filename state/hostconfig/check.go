package hostconfig

import (
	"errors"
	"fmt"
	"net"
)

// linksOfAHost is how many link ports the processes of one host take.
const linksOfAHost = 2

// Check tells all that is wrong with the settings at once.
func (p *Process) Check() error {
	var wrong []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			wrong = append(wrong, fmt.Errorf(format, args...))
		}
	}
	add(p.Name == "", "the process has no name")
	add(net.ParseIP(p.IP) == nil, "%q is no IP address of the host", p.IP)
	for _, address := range []string{p.CallerAddress, p.ReadyAddress, p.OperatorAddress} {
		_, _, err := net.SplitHostPort(address)
		add(address != "" && err != nil, "%q is no address to listen on: write IP:PORT", address)
	}
	add(p.FirstLinkPort < 1 || p.LastLinkPort > 65535 || p.LastLinkPort-p.FirstLinkPort+1 < linksOfAHost,
		"the ports %d to %d for links are not %d or more between 1 and 65535", p.FirstLinkPort, p.LastLinkPort, linksOfAHost)
	add(p.MemoryBytes < 0, "the memory limit of %d bytes is negative", p.MemoryBytes)
	b := &p.Bounds
	add(b.RevokedWithin < 0 || b.AnnounceEvery < 0 || b.StopWithin < 0 || b.RepeatWindow < 0, "a time among the bounds is negative")
	add(b.RepeatRatio < 0 || b.RepeatSlack < 0, "the budget of repeats is negative")
	add(b.HostsLost < 0, "%d hosts to be lost at once is negative", b.HostsLost)
	return errors.Join(wrong...)
}
