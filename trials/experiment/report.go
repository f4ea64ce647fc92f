package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const microsecondsPerMillisecond = 1000

// Report is the result of a run, in a form that can be saved and compared.
type Report struct {
	Workload       string       `json:"workload"`
	Seed           uint64       `json:"seed"`
	Rate           float64      `json:"rate"` // planned mean
	ElapsedSeconds float64      `json:"elapsed_seconds"`
	Bands          []BandReport `json:"bands"`
}

// BandReport is the result of one prompt length band. The last band of a Report holds
// all requests.
type BandReport struct {
	Band            string    `json:"band"`
	Correct         int       `json:"correct"`
	Wrong           int       `json:"wrong"`
	Refused         int       `json:"refused"`
	Failed          int       `json:"failed"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	FirstToken      Quantiles `json:"first_token_ms"`
	WholeAnswer     Quantiles `json:"whole_answer_ms"`
	FirstTokenCurve []float64 `json:"first_token_curve_ms"` // milliseconds, at each percentile from 0 to 100
}

// Quantiles are quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report summarises the observations. workload, seed and rate are those of the plan.
func (r *Recorder) Report(workload string, seed uint64, rate float64) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Workload: workload, Seed: seed, Rate: rate, ElapsedSeconds: r.elapsed.Seconds()}
	for _, limit := range bandLimits {
		report.Bands = append(report.Bands, r.bands[limit.Name].report(limit.Name, report.ElapsedSeconds))
	}
	report.Bands = append(report.Bands, r.bands[allLengths].report(allLengths, report.ElapsedSeconds))
	return report
}

func (b *band) report(name string, seconds float64) BandReport {
	return BandReport{
		Band:            name,
		Correct:         b.outcomes[Correct],
		Wrong:           b.outcomes[Wrong],
		Refused:         b.outcomes[Refused],
		Failed:          b.outcomes[Failed],
		TokensPerSecond: float64(b.outputTokens) / max(seconds, 1e-9),
		FirstToken:      quantiles(b.firstToken),
		WholeAnswer:     quantiles(b.wholeAnswer),
		FirstTokenCurve: curve(b.firstToken),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percentile float64) float64 {
		return float64(h.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsecondsPerMillisecond}
}

func curve(h *hdrhistogram.Histogram) []float64 {
	if h.TotalCount() == 0 {
		return nil
	}
	points := make([]float64, 0, 101)
	for percentile := 0.0; percentile <= 100; percentile++ {
		points = append(points, float64(h.ValueAtQuantile(percentile))/microsecondsPerMillisecond)
	}
	return points
}

// WrongOrFailed returns the number of requests whose answer was wrong or that failed.
func (r Report) WrongOrFailed() int {
	all := r.Bands[len(r.Bands)-1]
	return all.Wrong + all.Failed
}

// Print prints the report as a table.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "workload %s, seed %d, %.1f requests/s, %.1f s\n", r.Workload, r.Seed, r.Rate, r.ElapsedSeconds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "prompt\tcorrect\twrong\trefused\tfailed\tfirst token p50\tp95\tp99\tmax ms\twhole p95 ms\ttokens/s\t")
	for _, b := range r.Bands {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", b.Band, b.Correct, b.Wrong, b.Refused, b.Failed,
			b.FirstToken.P50, b.FirstToken.P95, b.FirstToken.P99, b.FirstToken.Max, b.WholeAnswer.P95, b.TokensPerSecond)
	}
	_ = w.Flush()
}

// Save writes the report to a file as JSON.
func (r Report) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadReport reads a saved report.
func ReadReport(path string) (Report, error) {
	var r Report
	data, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Compare prints the ratios of the second run's figures to the first run's as a table.
func Compare(out io.Writer, first, second Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "prompt\tcorrect\tfirst token p50\tp95\tp99\twhole p95\ttokens/s\t")
	byName := make(map[string]BandReport)
	for _, b := range first.Bands {
		byName[b.Band] = b
	}
	for _, after := range second.Bands {
		before := byName[after.Band]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", after.Band,
			ratio(float64(before.Correct), float64(after.Correct)),
			ratio(before.FirstToken.P50, after.FirstToken.P50),
			ratio(before.FirstToken.P95, after.FirstToken.P95),
			ratio(before.FirstToken.P99, after.FirstToken.P99),
			ratio(before.WholeAnswer.P95, after.WholeAnswer.P95),
			ratio(before.TokensPerSecond, after.TokensPerSecond))
	}
	_ = w.Flush()
}

func ratio(before, after float64) string {
	if before == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", after/before)
}
