package host

import (
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/coordination/placement"
)

// Guards against a histogram whose classes aren't cumulative, which would hide old reports.
func TestReportAgesAreWrittenCumulatively(t *testing.T) {
	var text strings.Builder
	stats := placement.EstimateStats{Spread: 5, Corrected: 2}
	stats.ReportAges[0], stats.ReportAges[2], stats.ReportAges[len(placement.ReportAgeBounds)] = 3, 4, 1
	writeEstimateStats(&text, stats)
	for _, line := range []string{
		"placement_spread_choices_total 5", "placement_corrected_estimates_total 2", `placement_report_age_ms{le="50"} 3`,
		`placement_report_age_ms{le="200"} 7`, `placement_report_age_ms{le="3200"} 7`, `placement_report_age_ms{le="+Inf"} 8`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("%q is missing in\n%s", line, text.String())
		}
	}
}
