package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// untold is the work at an endpoint of another data centre of which this entry
// is not told piece by piece.
type untold struct {
	answers int
	writers enginemodel.DecodeBatch
	memory  int // tokens
	credit  float64
	pause   time.Duration // the shortest objective between events
}

// untoldWork names the reading of all such work in an endpoint's queue.
var untoldWork = enginemodel.WorkID{Sender: ^uint64(0)}

// SetReportingDataCentres names the data centres whose work is reported in sums. Those left
// out tell of all their work.
func (b *Scheduler) SetReportingDataCentres(dataCentres []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for dataCentre := range b.reported {
		if !slices.Contains(dataCentres, dataCentre) {
			b.takeReport(dataCentre, nil)
			delete(b.reported, dataCentre)
		}
	}
	for _, dataCentre := range dataCentres {
		if _, known := b.reported[dataCentre]; !known {
			b.reported[dataCentre] = nil
		}
	}
}

// packing is how short answers share endpoints in a fleet of this size.
func (b *Scheduler) packing() packing {
	if len(b.reported) > 0 {
		return manyEntries
	}
	return fewEntries
}

// isReported reports whether the work in a candidate's data centre is known from
// sums.
func (b *Scheduler) isReported(c *candidate) bool {
	_, reported := b.reported[c.endpoint.DataCentre]
	return reported
}

// ApplyReport takes the sums of one data centre, which replace its earlier ones.
func (b *Scheduler) ApplyReport(report *wire.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, asked := b.reported[report.DataCentre]; asked {
		b.takeReport(report.DataCentre, report.Endpoints)
	}
}

func (b *Scheduler) takeReport(dataCentre string, endpoints []*wire.EndpointWork) {
	now := b.now()
	for _, key := range b.reported[dataCentre] {
		a := b.account(key)
		b.follow(a, key, now)
		a.untold = untold{}
		a.queue.Remove(untoldWork)
	}
	keys := make([]uint64, 0, len(endpoints))
	for _, e := range endpoints {
		keys = append(keys, e.Endpoint)
		a := b.account(e.Endpoint)
		b.follow(a, e.Endpoint, now)
		a.untold = untold{
			answers: int(e.Answers),
			writers: enginemodel.DecodeBatch{Count: int(e.Writers), ContextTokens: int(e.ContextTokens)},
			memory:  int(e.MemoryTokens),
			credit:  float64(e.CreditMilli) / creditUnit,
			pause:   time.Duration(e.PauseMs) * time.Millisecond,
		}
		if e.ReadUs > 0 {
			reading := enginemodel.Prefill{Ms: float64(e.ReadUs) / 1e3, Tokens: float64(e.ReadTokens)}
			a.queue.Add(enginemodel.Part{Work: untoldWork, Prefill: reading}, now)
		}
	}
	b.reported[dataCentre] = keys
}

// BuildReport sums up the work at the endpoints of this entry's data centre that the
// entries of others are not told of: short prompts that came here. isHere reports
// whether a sender is an entry of this data centre; 0 is this entry.
func (b *Scheduler) BuildReport(dataCentre string, keys []uint64, isHere func(sender uint64) bool) *wire.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	report := &wire.LoadReport{DataCentre: dataCentre}
	for _, key := range keys {
		a := b.accounts[key]
		if a == nil {
			continue
		}
		b.follow(a, key, now)
		if sum := a.sum(key, isHere); sum != nil {
			report.Endpoints = append(report.Endpoints, sum)
		}
	}
	return report
}

// sum returns nil when there is nothing to report.
func (a *account) sum(key uint64, isHere func(sender uint64) bool) *wire.EndpointWork {
	sum := &wire.EndpointWork{Endpoint: key}
	found := false
	for _, w := range a.works {
		if isWide(w.reading.Ms, len(w.endpoints)) || w.id.Sender != 0 && !isHere(w.id.Sender) {
			continue
		}
		found = true
		sum.MemoryTokens += uint32(w.memoryAt(slices.Index(w.endpoints, key)))
		left := a.queue.Remaining(w.id)
		sum.ReadUs += uint32(left.Ms * 1e3)
		sum.ReadTokens += uint32(left.Tokens)
		if w.endpoints[0] != key {
			continue
		}
		sum.Answers++
		if w.started {
			sum.Writers++
			sum.ContextTokens += uint32(w.prompt)
		}
		if !w.late {
			sum.CreditMilli += creditMilli(w.credit)
			sum.PauseMs = shorter(sum.PauseMs, millis(w.pause))
		}
	}
	if !found {
		return nil
	}
	return sum
}

// shorter returns the lesser of two objectives; 0 stands for none.
func shorter(a, b uint32) uint32 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// ReportedAnswers counts the answers that are known from sums only.
func (b *Scheduler) ReportedAnswers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, keys := range b.reported {
		for _, key := range keys {
			n += b.account(key).untold.answers
		}
	}
	return n
}

// loss is the credit that work of which nothing more is known loses by longer passes.
func (u *untold) loss(before, after *enginemodel.Forecast) float64 {
	if u.credit == 0 || u.pause == 0 {
		return 0
	}
	kept := chance(before.LongestPassMs, u.pause, pauseMargin) - chance(after.LongestPassMs, u.pause, pauseMargin)
	return u.credit * lateShare * max(0, kept)
}
