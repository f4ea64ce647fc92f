package bench

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/admission"
	"github.com/apricotspoke/apricotspoke/coordination/quota"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const leaseCallDelay = 1130 * time.Microsecond // of a quota lease request

// quotaLeader answers quota lease requests from one ledger, as the leader of the
// control replicas does.
type quotaLeader struct {
	mu        sync.Mutex
	ledger    *quota.Ledger
	contracts map[string]*wire.Contract
}

// Lease implements admission.Leaser.
func (l *quotaLeader) Lease(_ context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	time.Sleep(leaseCallDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.ledger.AcceptSequence(now, r) {
		return nil, context.Canceled
	}
	response := &wire.LeaseResponse{}
	for _, d := range r.Demands {
		grant := l.ledger.Lease(now, r.Entry, d, l.contracts[d.Organisation])
		grant.ValidMs = uint32(quota.LeaseTTL.Milliseconds())
		response.Grants = append(response.Grants, grant)
	}
	return response, nil
}

// FairnessFigures describe the organisations that stay within their contract
// while one exceeds its own.
type FairnessFigures struct {
	// The 95th percentile of the time to first token of short prompts, without and
	// with the flood.
	BeforeP95, DuringP95 time.Duration
	OnTimeDuring         float64 // share answered on time during the flood
	FloodRequests        int     // requests in the run with the flood, from all organisations and with the warm-up
	AdmittedRatio        float64 // admitted requests of the flooding organisation, relative to its contract
}

// Flood runs the experiment twice under contracts, first with the planned requests
// and then with a flood: after WarmUp, each request of the first organisation is
// sent factor times. It compares the other organisations in the two runs.
func Flood(s Experiment, factor int) (FairnessFigures, error) {
	var figures FairnessFigures
	for i, copies := range []int{1, factor} {
		outcomes, err := s.runFlood(copies)
		if err != nil {
			return figures, err
		}
		var others []Outcome
		admitted := 0
		for _, o := range ByLength(outcomes, 0, 1<<30, s.WarmUp) {
			if o.Organisation != s.Workload.Organisations[0].Name {
				others = append(others, o)
			} else if o.Attempts > 0 {
				admitted++
			}
		}
		p95 := FirstTokenPercentile(ByLength(others, 0, ShortTokens, s.WarmUp), 0.95)
		if i == 0 {
			figures.BeforeP95 = p95
			continue
		}
		figures.DuringP95, figures.OnTimeDuring = p95, OnTimeShare(others)
		figures.FloodRequests = len(outcomes)
		figures.AdmittedRatio = float64(admitted) / (s.contractRequestsPerSecond() * s.Measured.Seconds())
	}
	return figures, nil
}

// contractRequestsPerSecond is the rate in the contract of the flooding
// organisation: requests per second, a tenth more than it sends without a flood.
func (s Experiment) contractRequestsPerSecond() float64 {
	sum := 0.0
	for _, o := range s.Workload.Organisations {
		sum += o.Weight
	}
	return 1.1 * s.Rate() * s.Workload.Organisations[0].Weight / sum
}

// runFlood sends each request of the flooding organisation factor times once the
// warm-up is over.
func (s Experiment) runFlood(factor int) ([]Outcome, error) {
	f, err := NewFleet(s.Options)
	if err != nil {
		return nil, err
	}
	flooding := s.Workload.Organisations[0].Name
	var jobs []Job
	for _, job := range s.Jobs() {
		copies := 1
		if job.Organisation == flooding && job.At >= s.WarmUp {
			copies = factor
		}
		for c := range copies {
			copied := job
			copied.At += time.Duration(c) * 317 * time.Microsecond
			jobs = append(jobs, copied)
		}
	}
	for i := range jobs {
		jobs[i].Number = i
	}
	l := &quotaLeader{ledger: quota.NewLedger(time.Now().Add(-time.Hour)), contracts: s.contracts(flooding)}
	quotas := make([]*admission.Quota, s.Options.Entries)
	for i := range quotas {
		quotas[i] = admission.NewQuota(fmt.Sprint("entry", i), l)
		time.Sleep(731 * time.Microsecond) // so that no two entries ask at the same moment
		go quotas[i].Run(f.ctx)
	}
	outcomes := f.Run(jobs, func(entry int, job Job) (func(), error) {
		hold, err := quotas[entry].Acquire(f.ctx, l.contracts[job.Organisation], uint64(job.PromptTokens+job.OutputTokens))
		if err != nil {
			return nil, err
		}
		return func() { hold.Release(math.MaxInt64) }, nil
	})
	f.Stop()
	return outcomes, nil
}

// contracts gives the flooding organisation a contract near its own rate, and
// every other one a contract that it never reaches.
func (s Experiment) contracts(flooding string) map[string]*wire.Contract {
	contracts := make(map[string]*wire.Contract)
	for _, o := range s.Workload.Organisations {
		c := &wire.Contract{Organisation: o.Name, RequestsPerSecond: 1000, RequestBurst: 2000, TokensPerSecond: 1e9, TokenBurst: 2e9, Concurrency: 5000}
		if o.Name == flooding {
			c.RequestsPerSecond = s.contractRequestsPerSecond()
			c.RequestBurst = 2 * c.RequestsPerSecond
			c.TokensPerSecond = c.RequestsPerSecond * MeanPromptTokens(s.Workload, s.Options.Seed)
			c.TokenBurst = max(2*c.TokensPerSecond, 2<<20)
		}
		contracts[o.Name] = c
	}
	return contracts
}
