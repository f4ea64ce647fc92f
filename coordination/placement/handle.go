package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Handle follows one piece of this entry's work.
type Handle struct {
	scheduler *Scheduler
	work      *work
}

// EndConflictWindow ends the time in which a plan waits for news of choices that crossed
// it. It reports whether one of them has precedence; the plan is then to be
// closed and made anew.
func (h *Handle) EndConflictWindow() (conflicted bool) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	h.scheduler.awaitingConflicts = slices.DeleteFunc(h.scheduler.awaitingConflicts, func(w *work) bool { return w == h.work })
	return h.work.conflicted
}

// MarkStarted notes that the first event was seen, and returns how long it took and
// how long it was predicted to take.
func (h *Handle) MarkStarted() (took time.Duration, predictedMs float64) {
	h.scheduler.applyOwnStep(h.work, wire.WorkStep_WORK_STEP_STARTED)
	took = h.work.startedAt.Sub(h.work.openedAt)
	h.scheduler.updateBias(took, h.work.predictedFirstMs)
	return took, h.work.predictedFirstMs
}

// updateBias moves the bias towards what one prediction was off by.
func (s *Scheduler) updateBias(took time.Duration, predictedMs float64) {
	if predictedMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := float64(took) / float64(time.Millisecond) * s.bias / predictedMs
	s.bias += biasSmoothing * (min(max(ratio, minBias), maxBias) - s.bias)
}

// MarkLate notes that the work has missed an objective, so that others need not be
// careful of it any more.
func (h *Handle) MarkLate() { h.scheduler.applyOwnStep(h.work, wire.WorkStep_WORK_STEP_LATE) }

// MaxPassTime predicts how long the endpoint that answers may be silent: for the rest
// of the pass that runs, or for a pass to come.
func (h *Handle) MaxPassTime(engine *catalogue.Engine) time.Duration {
	if engine == nil {
		return 0
	}
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	f := &h.scheduler.newCandidate(h.work.endpoints[0], engine, h.scheduler.now()).forecast
	return enginemodel.FromMs(max(f.PassLeftMs, f.LongestPassMs))
}

// Close ends the work.
func (h *Handle) Close() {
	h.EndConflictWindow()
	h.scheduler.applyOwnStep(h.work, wire.WorkStep_WORK_STEP_CLOSED)
}
