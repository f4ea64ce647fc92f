package host

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/transport/link"
	"github.com/apricotspoke/apricotspoke/trials/faultproxy"
)

// proxyControlLinks puts a proxy before the link server of each control process. It must
// be called before the processes are started.
func (p *fakePlatform) proxyControlLinks(hosts ...int) []*faultproxy.Proxy {
	p.t.Helper()
	var proxies []*faultproxy.Proxy
	var detours []string
	for _, n := range hosts {
		address := net.JoinHostPort(p.host(n), strconv.Itoa(p.ports[3]))
		proxy, err := faultproxy.New(address, uint64(n))
		if err != nil {
			p.t.Fatal(err)
		}
		p.t.Cleanup(proxy.Close)
		proxies = append(proxies, proxy)
		detours = append(detours, address+"="+proxy.Address())
	}
	p.environment = append(p.environment, link.DetoursVariable+"="+strings.Join(detours, ","))
	return proxies
}

// Guards against control processes that forward calls on a dead connection for good, so
// that an acknowledged configuration can be neither read nor replaced.
func TestConfigurationIsReachableAfterConnectionsFellSilent(t *testing.T) {
	t.Parallel()
	p := newFakePlatform(t)
	hosts := []int{1, 2, 3, 4, 5}
	proxies := p.proxyControlLinks(hosts...)
	for _, n := range hosts {
		p.start("control", n, n <= 3, n <= 3)
	}
	version := 0
	for range 4 { // in some rounds the leader changes, and with it the connections
		for _, n := range hosts {
			version++
			p.changeAndRead(n, version)
		}
		for _, proxy := range proxies {
			proxy.BlackholeConnections(faultproxy.Both)
		}
	}
	for _, n := range hosts {
		p.changeAndRead(n, version+n)
	}
}

// changeAndRead has a host accept a version of the configuration and reads it back there.
func (p *fakePlatform) changeAndRead(n, version int) {
	p.t.Helper()
	p.putConfiguration(n, configuration(version, `"key"`))
	p.await(fmt.Sprintf("host %d reads version %d", n, version), func() bool {
		status, text := p.operatorCall(n, "GET", "/configuration", nil)
		return status == 200 && strings.Contains(text, fmt.Sprintf(`"version":%d,`, version))
	})
}
