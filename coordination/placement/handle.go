package placement

import (
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/enginemodel"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// Handle updates one work item of this entry as its request proceeds.
type Handle struct {
	scheduler *Scheduler
	work      *work
}

// EndConflictWindow ends the time in which a plan waits for concurrent choices of
// other entries. It reports whether one of them takes precedence; the caller must then
// close the handle and choose again.
func (h *Handle) EndConflictWindow() (conflicted bool) {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	h.scheduler.awaitingConflicts = slices.DeleteFunc(h.scheduler.awaitingConflicts, func(w *work) bool { return w == h.work })
	return h.work.conflicted
}

// MarkStarted records the first event. It returns how long it took and how long it was
// predicted to take.
func (h *Handle) MarkStarted() (took time.Duration, predictedMs float64) {
	h.scheduler.applyOwnStep(h.work, wire.WorkStep_WORK_STEP_STARTED)
	took = h.work.startedAt.Sub(h.work.openedAt)
	h.scheduler.updateBias(took, h.work.predictedFirstMs)
	return took, h.work.predictedFirstMs
}

// updateBias moves the bias towards the ratio of the observed time to the prediction
// without the bias, which predictedMs contains.
func (s *Scheduler) updateBias(took time.Duration, predictedMs float64) {
	if predictedMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := float64(took) / float64(time.Millisecond) * s.bias / predictedMs
	s.bias += biasSmoothing * (min(max(ratio, minBias), maxBias) - s.bias)
}

// HasStarted reports whether the first event of the answer was recorded.
func (h *Handle) HasStarted() bool {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	return h.work.started
}

// MarkLate records that the work has missed an objective, so that other choices no
// longer need to spare it.
func (h *Handle) MarkLate() { h.scheduler.applyOwnStep(h.work, wire.WorkStep_WORK_STEP_LATE) }

// MaxPassTime predicts the longest time without an event from the main endpoint: the
// rest of the running pass, or a later pass. It is 0 without an engine.
func (h *Handle) MaxPassTime(engine *catalogue.Engine) time.Duration {
	if engine == nil {
		return 0
	}
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	f := &h.scheduler.newCandidate(h.work.endpoints[0], engine, h.scheduler.now()).forecast
	return enginemodel.FromMs(max(f.PassLeftMs, f.LongestPassMs))
}

// Close removes the work item and publishes its end.
func (h *Handle) Close() {
	h.EndConflictWindow()
	h.scheduler.applyOwnStep(h.work, wire.WorkStep_WORK_STEP_CLOSED)
}
