package routing

// MemoryFilter drops engines whose total memory is too small for the prompt and
// its longest answer. It ignores the memory in use, because the gate can queue
// the attempt until memory is free.
type MemoryFilter struct{}

// Name implements Filter.
func (MemoryFilter) Name() string { return "memory" }

// Keep implements Filter.
func (MemoryFilter) Keep(r *Request, e *Endpoint) bool {
	total := e.Report.GetLoad().GetMemoryTokensTotal()
	return total == 0 || r.PromptTokens+r.MaxOutputTokens <= total
}
