package placement

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Guards against packing that lags behind a mix of lengths that changes within a second, or
// that follows single prompts.
func TestDemandFollowsTheLastSecond(t *testing.T) {
	start := time.Unix(1000, 0)
	var d demand
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for ms := 0; ms < 3000; ms += 100 {
		d.add(50, at(ms)) // half of the endpoint's time
		if load := d.load(at(ms)); ms >= 2000 && (load < 0.45 || load > 0.56) {
			t.Errorf("after %d ms the load is %.2f, not 0.5", ms, load)
		}
	}
	last := d.load(at(3000))
	for ms := 3000; ms <= 5000; ms += 50 {
		load := d.load(at(ms))
		if load > last {
			t.Errorf("the load rises to %.2f without a prompt", load)
		}
		last = load
	}
	if last != 0 {
		t.Errorf("two seconds after the last prompt the load is %.2f", last)
	}
}

func TestShortAnswersArePackedByTheDemandForLongPrompts(t *testing.T) {
	last := -1.0
	for load := 0.0; load <= 1; load += 0.05 {
		rule := demandPacking(load)
		if rule.bonusShare < last || rule.bonusShare < largeFleetPacking.bonusShare || rule.bonusShare > smallFleetPacking.bonusShare {
			t.Errorf("at a load of %.2f the bonus is %.2f after %.2f", load, rule.bonusShare, last)
		}
		last = rule.bonusShare
	}
	if last != smallFleetPacking.bonusShare || demandPacking(0) != largeFleetPacking {
		t.Errorf("the bonus at no load is %v and at full load %.2f", demandPacking(0), last)
	}
}

// Guards against entries that keep different numbers of endpoints for short answers because
// they count only their own prompts. The sums of an entry that starts begin at 0.
func TestDemandCountsThePromptsOfAllEntries(t *testing.T) {
	own, other, started := newTestbed(4), newTestbed(4), newTestbed(4)
	p := own.choose(t, own.long())
	event := p.Handle.work.event(own.now)
	other.scheduler.ApplyRemote(7, []*wire.WorkEvent{event})
	for i, e := range p.Endpoints {
		key := e.Key
		mine, theirs := own.scheduler.stateOf(key).demand.load(own.now), other.scheduler.stateOf(key).demand.load(other.now)
		if mine == 0 || mine-theirs > 0.001*mine || theirs-mine > 0.001*mine {
			t.Errorf("at endpoint %d one entry counts %.4f and the other %.4f", i, mine, theirs)
		}
		if load := started.scheduler.stateOf(key).demand.load(started.now); load != 0 {
			t.Errorf("an entry that has just started counts %.4f", load)
		}
	}
}

// Guards against a service without different priorities that is packed in another way.
func TestPackingWithoutPrioritiesDoesNotFollowTheDemand(t *testing.T) {
	b := newTestbed(4)
	b.inDataCentre("dc2", 3)
	b.scheduler.SetReportingDataCentres([]string{"dc2"})
	b.choose(t, b.long())
	req := b.short()
	candidates := b.scheduler.candidates(b.endpoints, req)
	if rule := b.scheduler.packing(candidates, req); rule != largeFleetPacking {
		t.Errorf("the packing is %+v", rule)
	}
	req.HasPriorities = true
	if rule := b.scheduler.packing(candidates, req); rule == largeFleetPacking {
		t.Error("with priorities the packing does not follow the demand")
	}
}
