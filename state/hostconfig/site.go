// Package site holds the settings that a process gets from the place where it
// runs: its host, its addresses and the bounds that its users set.
package hostconfig

import "time"

// Process describes one process and its host.
type Process struct {
	Name            string
	DataCentre      string
	IP              string
	CallerAddress   string // callers connect here; empty when this process takes none
	ReadyAddress    string // asked for readiness
	OperatorAddress string // operators and endpoints call here; empty without this role
	FirstLinkPort   int    // ports for links between processes, the same on all hosts
	LastLinkPort    int
	Seeds           []string // operator addresses of other processes
	Found           bool     // the fleet starts for the first time
	DataFolder      string   // empty without a disk
	MetricsPort     int      // of the host's address; 0 for none
	MemoryBytes     int64
	Bounds          Bounds
}

// Bounds are what the users ask for. Zero means that none is set.
type Bounds struct {
	RevokedWithin time.Duration // a key taken away stops everywhere, also out of touch
	AnnounceEvery time.Duration // in which each endpoint announces itself again
	StopWithin    time.Duration // between the signal to stop and the end
	RepeatRatio   float64
	RepeatSlack   float64
	RepeatWindow  time.Duration
	HostsLost     int // hosts with a disk that may be lost at once
}

// leastGroup is the size of the smallest control group that bears a loss.
const leastGroup = 3

// MinReachableVoters is the size of the smallest control group that keeps a majority,
// and with it all that was acknowledged, when as many hosts are lost as the
// users ask to be borne.
func (b *Bounds) MinReachableVoters() int { return max(leastGroup, 2*b.HostsLost+1) }
