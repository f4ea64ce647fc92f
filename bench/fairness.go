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

const leaseDelay = 1130 * time.Microsecond

// leader answers lease requests from one ledger, as control does.
type leader struct {
	mu        sync.Mutex
	ledger    *quota.Ledger
	contracts map[string]*wire.Contract
}

// Lease implements admission.Leaser.
func (l *leader) Lease(_ context.Context, r *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	time.Sleep(leaseDelay)
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

// FairnessFigures are those of the organisations that keep to their contract.
type FairnessFigures struct {
	BeforeP95, DuringP95 time.Duration // 95th percentile to the first token of short requests
	OnTimeDuring         float64
	FloodRequests        int     // requests of the flood
	AdmittedRatio        float64 // requests of the flooding organisation over its contract
}

// Flood lets the first organisation send so many times its contract.
func Flood(s Experiment, times int) (FairnessFigures, error) {
	var figures FairnessFigures
	for i, factor := range []int{1, times} {
		outcomes, err := s.flooded(factor)
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
		figures.AdmittedRatio = float64(admitted) / (s.contractRate() * s.Measured.Seconds())
	}
	return figures, nil
}

// contractRate is the flooding organisation's contract in requests per second,
// a tenth more than it sends without a flood.
func (s Experiment) contractRate() float64 {
	sum := 0.0
	for _, o := range s.Workload.Organisations {
		sum += o.Weight
	}
	return 1.1 * s.Rate() * s.Workload.Organisations[0].Weight / sum
}

func (s Experiment) flooded(factor int) ([]Outcome, error) {
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
			again := job
			again.At += time.Duration(c) * 317 * time.Microsecond
			jobs = append(jobs, again)
		}
	}
	for i := range jobs {
		jobs[i].Number = i
	}
	l := &leader{ledger: quota.NewLedger(time.Now().Add(-time.Hour)), contracts: s.contracts(flooding)}
	quotas := make([]*admission.Quota, s.Options.Entries)
	for i := range quotas {
		quotas[i] = admission.NewQuota(fmt.Sprint("entry", i), l)
		time.Sleep(731 * time.Microsecond)
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

func (s Experiment) contracts(flooding string) map[string]*wire.Contract {
	contracts := make(map[string]*wire.Contract)
	for _, o := range s.Workload.Organisations {
		c := &wire.Contract{Organisation: o.Name, RequestsPerSecond: 1000, RequestBurst: 2000, TokensPerSecond: 1e9, TokenBurst: 2e9, Concurrency: 5000}
		if o.Name == flooding {
			c.RequestsPerSecond = s.contractRate()
			c.RequestBurst = 2 * c.RequestsPerSecond
			c.TokensPerSecond = c.RequestsPerSecond * MeanPromptTokens(s.Workload, s.Options.Seed)
			c.TokenBurst = max(2*c.TokensPerSecond, 2<<20)
		}
		contracts[o.Name] = c
	}
	return contracts
}
