package fanout

import (
	"fmt"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// fleet returns the records of a number of entries, spread over data centres with two
// control processes each.
func fleet(entries, dataCentres int) []*wire.ProcessRecord {
	var all []*wire.ProcessRecord
	for i := range entries + 2*dataCentres {
		all = append(all, &wire.ProcessRecord{
			Address:    fmt.Sprintf("10.%d.0.%d:7341", i%dataCentres, i),
			DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
			Entry:      i < entries,
		})
	}
	return all
}

// broadcast delivers one update of a process over the links and relays, and counts how
// often each process receives it and how many messages cross data centres.
func broadcast(from *wire.ProcessRecord, topologies func(*wire.ProcessRecord) *Topology) (received map[string]int, crossings int) {
	received = make(map[string]int)
	t := topologies(from)
	for _, p := range t.Direct {
		received[p.Address]++
		if p.DataCentre != from.DataCentre {
			crossings++
		}
	}
	for _, relays := range t.Relays {
		relay := relays[0]
		received[relay.Address]++
		crossings++
		for _, p := range topologies(relay).Direct {
			if p.DataCentre == relay.DataCentre {
				received[p.Address]++
			}
		}
	}
	return received, crossings
}

func TestEachUpdateArrivesOnceAndLinksGrowWithTheDataCentreOnly(t *testing.T) {
	for _, c := range []struct {
		entries, dataCentres int
		links                int // most links of one process
		across               int // most messages between data centres for one update
	}{
		{8, 3, 4 + 2*5, 10},
		{30, 5, 7 + 4*RelaysPerDataCentre, 4},
		{100, 5, 21 + 4*RelaysPerDataCentre, 4},
		{300, 9, 35 + 8*RelaysPerDataCentre, 8},
		{1000, 9, 113 + 8*RelaysPerDataCentre, 8},
	} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			all := fleet(c.entries, c.dataCentres)
			planned := make(map[string]*Topology)
			topologies := func(p *wire.ProcessRecord) *Topology {
				if planned[p.Address] == nil {
					planned[p.Address] = Plan(p, all)
				}
				return planned[p.Address]
			}
			relayed := make(map[string]int)
			asked := 0
			for i := 0; i < len(all); i += 1 + len(all)/100 {
				p := all[i]
				own := topologies(p)
				asked++
				links := len(own.Direct)
				for _, relays := range own.Relays {
					links += min(RelaysPerDataCentre, len(relays))
					relayed[relays[0].Address]++
				}
				if links > c.links {
					t.Fatalf("%s has %d links, at most %d are needed", p.Address, links, c.links)
				}
				received, crossings := broadcast(p, topologies)
				if crossings > c.across {
					t.Fatalf("an update of %s crosses data centres %d times, at most %d are needed", p.Address, crossings, c.across)
				}
				if len(received) != len(all)-1 {
					t.Fatalf("an update of %s reaches %d of %d others", p.Address, len(received), len(all)-1)
				}
				for address, times := range received {
					if times != 1 {
						t.Fatalf("%s receives an update of %s %d times", address, p.Address, times)
					}
				}
			}
			mean := float64(c.dataCentres-1) * float64(asked) / float64(c.entries)
			for address, n := range relayed {
				if float64(n) > 4*mean+4 {
					t.Errorf("%s relays the updates of %d processes, the mean is %.1f", address, n, mean)
				}
			}
		})
	}
}

func TestAGoneRelayIsReplacedAndTheOtherRelaysStay(t *testing.T) {
	all := fleet(70, 5)
	self := all[0]
	before := Plan(self, all).Relays["dc1"]
	var without []*wire.ProcessRecord
	for _, p := range all {
		if p != before[0] {
			without = append(without, p)
		}
	}
	after := Plan(self, without).Relays["dc1"]
	if after[0] != before[1] || after[1] != before[2] {
		t.Errorf("without %s, the relays are %s and %s, want %s and %s",
			before[0].Address, after[0].Address, after[1].Address, before[1].Address, before[2].Address)
	}
}
