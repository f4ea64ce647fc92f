package hostconfig

import (
	"errors"
	"fmt"
	"net"
)

// linkPortsPerHost is the number of link ports on one host: one for the control process
// and one for the entry process.
const linkPortsPerHost = 2

// Check returns one error with all problems of the settings, or nil.
func (p *Process) Check() error {
	var problems []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	add(p.Name == "", "the process has no name")
	add(net.ParseIP(p.IP) == nil, "the host's address %q is not an IP address", p.IP)
	for _, address := range []string{p.CallerAddress, p.ReadyAddress, p.OperatorAddress} {
		_, _, err := net.SplitHostPort(address)
		add(address != "" && err != nil, "%q is not an address to listen on; write IP:PORT", address)
	}
	add(p.FirstLinkPort < 1 || p.LastLinkPort > 65535 || p.LastLinkPort-p.FirstLinkPort+1 < linkPortsPerHost,
		"the port range %d to %d for links must hold at least %d ports between 1 and 65535", p.FirstLinkPort, p.LastLinkPort, linkPortsPerHost)
	add(p.MemoryBytes < 0, "the memory limit of %d bytes is negative", p.MemoryBytes)
	add(p.MaxDescriptors < 0, "the limit of %d descriptors is negative", p.MaxDescriptors)
	b := &p.Bounds
	add(b.RevokedWithin < 0 || b.AnnounceEvery < 0 || b.StopWithin < 0 || b.RepeatWindow < 0 || b.ReservedUnusedFor < 0 || b.ReleasedWithin < 0, "a time among the bounds is negative")
	add(b.RepeatRatio < 0 || b.RepeatSlack < 0, "RepeatRatio or RepeatSlack, which limit repeats, is negative")
	add(b.HostsLost < 0, "the number of hosts that may be lost at once, %d, is negative", b.HostsLost)
	return errors.Join(problems...)
}
