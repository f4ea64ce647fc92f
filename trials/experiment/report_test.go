package experiment

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/workload"
)

func TestReportSeparatesBandsAndRoundTripsThroughFile(t *testing.T) {
	r := newRecorder()
	r.elapsed = time.Second
	for i := range 100 {
		r.record(workload.PlannedRequest{PromptTokens: 2000, OutputTokens: 10},
			Observation{Outcome: Correct, FirstToken: time.Duration(i+1) * time.Millisecond})
	}
	r.record(workload.PlannedRequest{PromptTokens: 500_000}, Observation{Outcome: Wrong})
	report := r.Report("kartuli", 1, 100)
	if short := report.Bands[0]; short.Correct != 100 || short.FirstToken.P95 < 94 || short.FirstToken.P95 > 96 {
		t.Errorf("short band %+v", short)
	}
	if report.Bands[3].Wrong != 1 || report.WrongOrFailed() != 1 {
		t.Errorf("long band %+v", report.Bands[3])
	}
	path := filepath.Join(t.TempDir(), "run.json")
	if err := report.Save(path); err != nil {
		t.Fatal(err)
	}
	if loaded, err := ReadReport(path); err != nil || !reflect.DeepEqual(loaded, report) {
		t.Errorf("loaded %+v, %v", loaded, err)
	}
	var out strings.Builder
	Compare(&out, report, report)
	if !strings.Contains(out.String(), "1.00") {
		t.Error(out.String())
	}
	picture := filepath.Join(t.TempDir(), "run.svg")
	if err := report.Plot(picture); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(picture); err != nil || !strings.Contains(string(data), "<svg") {
		t.Error("no SVG was written")
	}
}
