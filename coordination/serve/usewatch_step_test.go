package serve

import (
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
)

// Guards against the end of a running answer's renewal because the first round of reports
// after a suspension failed.
func TestSecondRoundOfReportsAfterASuspensionCounts(t *testing.T) {
	for report, want := range map[useReport]useStep{reportUsed: useRenew, reportUnused: useEnd, reportNone: useEnd} {
		start := monotonic.Time(time.Hour)
		w := newUseWatch(&Settings{ReservedUnusedFor: unusedBound, ReleasedWithin: releaseBound}, start)
		now := start.Add(10 * time.Second)
		if step := w.next(now, true); step != useAskAll {
			t.Fatalf("after the suspension: step %v", step)
		}
		w.recordReport(reportNone)
		if step := w.next(now, true); step != useWait || w.untilNext(now) != gapAskInterval {
			t.Errorf("after a failed round: step %v, the next in %v", step, w.untilNext(now))
		}
		now = now.Add(gapAskInterval)
		if step := w.next(now, true); step != useAskAll {
			t.Errorf("the second time: step %v", step)
		}
		w.recordReport(report)
		if step := w.next(now, true); step != want {
			t.Errorf("report %v: step %v", report, step)
		}
	}
}
