package placement

// HasStarted reports whether the first event of the answer was recorded.
func (h *Handle) HasStarted() bool {
	h.scheduler.mu.Lock()
	defer h.scheduler.mu.Unlock()
	return h.work.started
}
