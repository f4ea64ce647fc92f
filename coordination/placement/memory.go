package placement

// reportedSpareRequests is the number of requests of mean length for which memory is kept
// free at an endpoint known from load reports, as other entries choose by the same report.
// Three arrive at 15 requests a second within 200 ms, the greatest age of a report (150 ms)
// and its delay. With more, memory stays unused; with fewer, an endpoint may be sent
// more than its memory holds, and crash.
const reportedSpareRequests = 3

// spareMemoryTokens returns the memory that is kept free at a candidate. An endpoint that
// holds nothing keeps none free, so that a prompt of the size of its memory finds a place.
func (s *Scheduler) spareMemoryTokens(c *candidate, req *Request) int {
	engine := req.Service.Engine
	if engine == nil || c.usedMemoryTokens == 0 || !c.isReported() {
		return 0
	}
	return int(reportedSpareRequests * (engine.MeanPromptTokens + engine.MeanOutputTokens))
}
