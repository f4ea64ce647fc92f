package placement

// reportedSpareRequests is for how many usual requests memory is kept free at an endpoint
// whose load is known from load reports. A report is up to 150 ms old and other entries
// choose by the same one: three are what 15 requests a second bring in 200 ms, the age of a
// report and its way. With more, memory stays unused; with fewer, an endpoint may be sent
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
