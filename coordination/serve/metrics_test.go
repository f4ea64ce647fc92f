package serve

import (
	"strings"
	"testing"
	"time"
)

// hasMetric reports whether the metrics contain a line.
func (b *testbed) hasMetric(line string) bool {
	var text strings.Builder
	b.server.metrics.WriteText(&text)
	return strings.Contains("\n"+text.String(), "\n"+line+"\n")
}

func TestMetricsCountAttemptsByResult(t *testing.T) {
	b := newTestbed(t, breakingOff(events(1, 3)), good(events(4, 6)), good("whole"))
	b.serve(t.Context(), "stream")
	b.serve(t.Context(), "once")
	for _, line := range []string{
		`serve_requests{organisation="boots",class="served"} 2`,
		`serve_attempts{organisation="",class="failed"} 1`,
		`serve_attempts{organisation="",class="whole"} 2`,
		`serve_repeats{organisation="",class="resumed"} 1`,
		`serve_waited_ms{organisation="",class="placed",of="count"} 3`,
		`prediction_first_off_ms{organisation="",class="later",of="count"} 2`,
		`repeats_left{service="s"} 9`, // half of the slack of 20 and of 0.2 for each request, less one retry
	} {
		if !b.hasMetric(line) {
			t.Errorf("metric %s is missing", line)
		}
	}
}

func TestMetricsCountARetryThatTheBudgetRefused(t *testing.T) {
	b := newTestbed(t, breakingOff(events(1, 3)), good(events(4, 6)))
	settings := *b.server.settings.Load()
	settings.RetrySlack = 0
	b.server.SetSettings(settings)
	if g := b.serve(t.Context(), "stream"); !g.aborted {
		t.Error("a stream was resumed without retry budget")
	}
	for _, line := range []string{
		`serve_requests{organisation="boots",class="broken_off"} 1`,
		`serve_repeats{organisation="",class="no_budget"} 1`,
		`repeats_left{service="s"} 0`,
	} {
		if !b.hasMetric(line) {
			t.Errorf("metric %s is missing", line)
		}
	}
}

func TestMetricsRecordPredictionErrors(t *testing.T) {
	b := newTestbed(t)
	r := &run{server: b.server}
	r.measurePrediction(100*time.Millisecond, 60)
	r.measurePrediction(100*time.Millisecond, 130)
	for _, line := range []string{
		`prediction_first_off_ms{organisation="",class="later",quantile="0.5"} 40`,
		`prediction_first_off_ms{organisation="",class="sooner",quantile="0.5"} 30`,
	} {
		if !b.hasMetric(line) {
			t.Errorf("metric %s is missing", line)
		}
	}
}
