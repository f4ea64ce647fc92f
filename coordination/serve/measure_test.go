package serve

import (
	"strings"
	"testing"
	"time"
)

// holds reports whether the metrics have a line.
func (b *bed) holds(line string) bool {
	var text strings.Builder
	b.server.metrics.WriteText(&text)
	return strings.Contains("\n"+text.String(), "\n"+line+"\n")
}

func TestMetricsTellWhatBecameOfAttempts(t *testing.T) {
	b := newBed(t, breaking(events(1, 3)), good(events(4, 6)), good("whole"))
	b.serve(t.Context(), "stream")
	b.serve(t.Context(), "once")
	for _, line := range []string{
		`serve_requests{organisation="boots",class="served"} 2`,
		`serve_attempts{organisation="",class="failed"} 1`,
		`serve_attempts{organisation="",class="whole"} 2`,
		`serve_repeats{organisation="",class="resumed"} 1`,
		`serve_waited_ms{organisation="",class="placed",of="count"} 3`,
		`prediction_first_off_ms{organisation="",class="later",of="count"} 2`,
		`repeats_left{service="s"} 9`, // half of 20 and of 0.2 for each request, less one
	} {
		if !b.holds(line) {
			t.Errorf("there is no %s", line)
		}
	}
}

func TestMetricsTellARepeatThatTheBudgetRefused(t *testing.T) {
	b := newBed(t, breaking(events(1, 3)), good(events(4, 6)))
	settings := *b.server.settings.Load()
	settings.RetrySlack = 0
	b.server.SetSettings(settings)
	if g := b.serve(t.Context(), "stream"); !g.broken {
		t.Error("a stream went on without budget")
	}
	for _, line := range []string{
		`serve_requests{organisation="boots",class="broken_off"} 1`,
		`serve_repeats{organisation="",class="no_budget"} 1`,
		`repeats_left{service="s"} 0`,
	} {
		if !b.holds(line) {
			t.Errorf("there is no %s", line)
		}
	}
}

func TestMetricsTellWhichWayPredictionsAreOff(t *testing.T) {
	b := newBed(t)
	r := &run{server: b.server}
	r.measurePrediction(100*time.Millisecond, 60)
	r.measurePrediction(100*time.Millisecond, 130)
	for _, line := range []string{
		`prediction_first_off_ms{organisation="",class="later",quantile="0.5"} 40`,
		`prediction_first_off_ms{organisation="",class="sooner",quantile="0.5"} 30`,
	} {
		if !b.holds(line) {
			t.Errorf("there is no %s", line)
		}
	}
}
