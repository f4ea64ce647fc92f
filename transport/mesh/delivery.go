package mesh

import (
	"context"
	"net"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// deliveryPatience is how long AwaitDelivery waits for processes that don't confirm,
// while others in their data centre have. A process that stands still delays each wait by
// it, until its link counts as lost.
const deliveryPatience = 300 * time.Millisecond

// confirmationResult tells how the confirmation of one link has ended.
type confirmationResult struct {
	dataCentre string
	otherHost  bool // the process runs on another host than this one
	confirmed  bool // false if the link was lost
}

// confirmation is an outstanding confirmation that a process has applied all updates that
// were queued for it so far.
type confirmation struct {
	ping    uint64 // sequence number of the ping whose pong confirms it, 0 before it is sent
	result  confirmationResult
	results chan<- confirmationResult // has room for the result
}

func (c *confirmation) end(confirmed bool) {
	c.result.confirmed = confirmed
	c.results <- c.result
}

// delivery is the state of one call of AwaitDelivery.
type delivery struct {
	results     chan confirmationResult
	outstanding int             // confirmations
	unconfirmed map[string]bool // data centres in which another host has a link and none has confirmed
	confirmed   bool            // another host has confirmed
}

// AwaitDelivery waits until the updates that this process has published so far survive its
// loss: all processes to which it sends them have applied them. After deliveryPatience it
// is enough if one on another host has in each data centre that has a link; processes pass
// records of endpoints on within their data centre. The error is OutcomeUnknown if ctx
// ends before, or if there are other hosts and none has confirmed.
func (m *Mesh) AwaitDelivery(ctx context.Context) error {
	d := m.startDelivery()
	patience := time.NewTimer(deliveryPatience)
	defer patience.Stop()
	impatient := false
	for d.outstanding > 0 && !(impatient && d.survives()) {
		select {
		case r := <-d.results:
			d.record(r)
		case <-patience.C:
			impatient = true
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "other processes have not confirmed the news in time")
		}
	}
	if !d.confirmed && m.knowsOtherHost() {
		return fault.New(fault.OutcomeUnknown, "no process on another host has confirmed the news")
	}
	return nil
}

// startDelivery requests a confirmation on each link that carries updates.
func (m *Mesh) startDelivery() *delivery {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &delivery{results: make(chan confirmationResult, len(m.links)), unconfirmed: make(map[string]bool)}
	for _, l := range m.links {
		if l.hasRole(roleKnown) {
			continue
		}
		result := confirmationResult{dataCentre: l.dataCentre, otherHost: m.isOtherHost(l.address)}
		if !l.requestConfirmation(&confirmation{result: result, results: d.results}) {
			continue
		}
		d.outstanding++
		if result.otherHost {
			d.unconfirmed[result.dataCentre] = true
		}
	}
	return d
}

func (d *delivery) record(r confirmationResult) {
	d.outstanding--
	if r.confirmed && r.otherHost {
		d.confirmed = true
		delete(d.unconfirmed, r.dataCentre)
	}
}

// survives reports whether each data centre with a link has the news on another host.
func (d *delivery) survives() bool { return d.confirmed && len(d.unconfirmed) == 0 }

// isOtherHost reports whether an address is on another host than this process.
func (m *Mesh) isOtherHost(address string) bool {
	own, _, ownErr := net.SplitHostPort(m.options.Self.Address)
	other, _, otherErr := net.SplitHostPort(address)
	return ownErr != nil || otherErr != nil || own != other
}

// knowsOtherHost reports whether there are seeds or processes on other hosts.
func (m *Mesh) knowsOtherHost() bool {
	m.mu.Lock()
	seeds := m.seeds
	m.mu.Unlock()
	for _, address := range seeds {
		if m.isOtherHost(address) {
			return true
		}
	}
	for _, p := range m.directory.Processes() {
		if m.isOtherHost(p.Address) {
			return true
		}
	}
	return false
}
