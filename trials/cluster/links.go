package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

// linkEnds names a link by its processes; From opens the connections.
type linkEnds struct{ From, To string }

// Links are the fault proxies between processes, one for each link.
type Links struct {
	seed    uint64
	proxies map[linkEnds]*faultproxy.Proxy
}

func newLinks(seed uint64) *Links {
	return &Links{seed: seed, proxies: make(map[linkEnds]*faultproxy.Proxy)}
}

// Between returns the proxy on the connections that process from opens to process to.
func (l *Links) Between(from, to string) (*faultproxy.Proxy, error) {
	if proxy, ok := l.proxies[linkEnds{from, to}]; ok {
		return proxy, nil
	}
	return nil, fmt.Errorf("no proxy from %s to %s", from, to)
}

// Link is a proxied link; From opens the connections.
type Link struct {
	From, To string
	Proxy    *faultproxy.Proxy
}

// All returns every link in a fixed order.
func (l *Links) All() []Link {
	var links []Link
	for ends, proxy := range l.proxies {
		links = append(links, Link{ends.From, ends.To, proxy})
	}
	slices.SortFunc(links, func(a, b Link) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return links
}

// ProxiesOf returns the proxies on the links from and to a process, of those links whose
// other process the filter accepts.
func (l *Links) ProxiesOf(name string, other func(string) bool) []*faultproxy.Proxy {
	var found []*faultproxy.Proxy
	for ends, proxy := range l.proxies {
		if ends.From == name && other(ends.To) || ends.To == name && other(ends.From) {
			found = append(found, proxy)
		}
	}
	return found
}

// add starts a proxy for a link and returns the proxy's address.
func (l *Links) add(from, to, address string) (string, error) {
	proxy, err := faultproxy.New(address, l.seed+uint64(len(l.proxies)))
	if err != nil {
		return "", err
	}
	l.proxies[linkEnds{from, to}] = proxy
	return proxy.Address(), nil
}

// target is a process that others connect to.
type target struct{ name, address string }

// detourEnvironment starts a proxy for the link of a process to each target and returns
// the environment variable that makes the process connect through the proxies.
func (l *Links) detourEnvironment(from string, targets []target) ([]string, error) {
	var pairs []string
	var errs []error
	for _, to := range targets {
		if to.name == from {
			continue
		}
		via, err := l.add(from, to.name, to.address)
		errs = append(errs, err)
		pairs = append(pairs, to.address+"="+via)
	}
	return []string{link.DetoursVariable + "=" + strings.Join(pairs, ",")}, errors.Join(errs...)
}

func (l *Links) close() {
	for _, proxy := range l.proxies {
		proxy.Close()
	}
}
