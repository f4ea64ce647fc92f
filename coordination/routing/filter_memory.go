package routing

// MemoryFilter drops engines whose whole memory is smaller than the prompt and
// its longest answer. Memory in use now is the gate's concern: it may wait.
type MemoryFilter struct{}

// Name implements Filter.
func (MemoryFilter) Name() string { return "memory" }

// Keep implements Filter.
func (MemoryFilter) Keep(r *Request, e *Endpoint) bool {
	total := e.Report.GetLoad().GetMemoryTokensTotal()
	return total == 0 || r.PromptTokens+r.MaxOutputTokens <= total
}
