// Package hostconfig holds the settings of one process: its host, its addresses and
// the bounds that its users set.
package hostconfig

import "time"

// Process holds the settings of one process. Log entries about a reload contain the
// names of its fields.
type Process struct {
	Name            string
	DataCentre      string
	IP              string
	CallerAddress   string // where callers connect; empty if the process accepts none
	ReadyAddress    string // where the readiness probe connects
	OperatorAddress string // where operators and endpoints call; empty without the control role
	FirstLinkPort   int    // first port for links between processes; the same on all hosts
	LastLinkPort    int
	Seeds           []string // operator addresses of other processes
	Found           bool     // bootstrap: this process may found the control group, because the fleet starts for the first time
	DataFolder      string   // empty for a host without a disk
	MetricsPort     int      // on the host's address; 0 for none
	MemoryBytes     int64    // memory limit of the process
	MaxDescriptors  int      // files and connections that the process may have open; 0 for no limit
	Bounds          Bounds
}

// Bounds are what the users require of the system. Zero means that a bound is not
// set, except as stated for a field.
type Bounds struct {
	RevokedWithin time.Duration // until a revoked key is refused everywhere, also by processes that are cut off
	AnnounceEvery time.Duration // between two announcements of an endpoint
	StopWithin    time.Duration // between the signal to stop and the exit; at zero an entry interrupts the running requests at once
	RepeatRatio   float64       // retries allowed for each request of a service in the window; zero allows none
	RepeatSlack   float64       // retries of a service allowed in the window in addition to RepeatRatio, for all entries together; zero allows none
	RepeatWindow  time.Duration // sliding window over which the retries and requests are counted
	// ReservedUnusedFor is how long an endpoint's memory may be reserved, or waited for,
	// while no request has used it.
	ReservedUnusedFor time.Duration
	// ReleasedWithin is how long memory may stay reserved after the last request that
	// used it has ended.
	ReleasedWithin time.Duration
	HostsLost      int // hosts with a disk that may fail at the same time; MinVoters treats zero as one
}

// minGroupReplicas is the number of voters of the smallest control group that survives
// the loss of a replica.
const minGroupReplicas = 3

// MinVoters returns the number of voters with which the control group keeps a
// majority, and so all acknowledged changes, when HostsLost hosts fail at the same
// time. It is at least minGroupReplicas, also if no host is expected to fail.
func (b *Bounds) MinVoters() int { return max(minGroupReplicas, 2*b.HostsLost+1) }
