package fakeendpoint

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"
)

type loadReport struct {
	BootID                 string   `json:"boot_id"`
	AgeMs                  int64    `json:"age_ms"`
	Running                int      `json:"running"`
	Waiting                int      `json:"waiting"`
	QueuedPrefillTokens    uint64   `json:"queued_prefill_tokens"`
	MemoryTokensUsed       uint64   `json:"memory_tokens_used"`
	MemoryTokensTotal      uint64   `json:"memory_tokens_total"`
	PrefillTokensPerSecond float64  `json:"prefill_tokens_per_second"`
	DecodeMsPerToken       float64  `json:"decode_ms_per_token"`
	Admissible             int      `json:"admissible"`
	Attempts               []string `json:"attempts"`

	sampledAt time.Time
}

func (e *Endpoint) measureLoad(now time.Time) loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := loadReport{
		BootID:                 e.bootID,
		MemoryTokensUsed:       e.memoryUsedTokens,
		MemoryTokensTotal:      e.config.MemoryTokens,
		PrefillTokensPerSecond: e.config.PrefillTokensPerSecond / e.slowdown,
		Admissible:             e.admissible(),
		Attempts:               slices.Sorted(maps.Keys(e.attempts)),
		sampledAt:              now,
	}
	for _, a := range e.attempts {
		if a.prefilled || a.endsByHandler {
			report.Running++
			continue
		}
		report.Waiting++
		report.QueuedPrefillTokens += uint64(a.prefillTokensLeft)
	}
	interval := e.decodeInterval(report.Running)
	report.DecodeMsPerToken = float64(interval) / float64(time.Millisecond)
	return report
}

// sampleLoad keeps the load reports of the last LoadLag, so that /load can serve old ones.
func (e *Endpoint) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		report := e.measureLoad(time.Now())
		e.mu.Lock()
		e.loadReports = append(e.loadReports, report)
		if keep := int(e.config.LoadLag/loadSampleInterval) + 2; len(e.loadReports) > keep {
			e.loadReports = slices.Clone(e.loadReports[len(e.loadReports)-keep:])
		}
		e.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// laggedLoad returns the newest report that is at least LoadLag old, or the oldest one if
// there is none.
func (e *Endpoint) laggedLoad(now time.Time) loadReport {
	e.mu.Lock()
	reports := e.loadReports
	e.mu.Unlock()
	if len(reports) == 0 {
		return e.measureLoad(now)
	}
	report := reports[0]
	for _, later := range reports {
		if now.Sub(later.sampledAt) >= e.config.LoadLag {
			report = later
		}
	}
	report.AgeMs = now.Sub(report.sampledAt).Milliseconds()
	return report
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.laggedLoad(time.Now()))
}
