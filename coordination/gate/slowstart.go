package gate

// slowStart limits the concurrent attempts at an endpoint. After each start of
// the endpoint the limit is coldLimit. It grows with the attempts that have
// finished since that start, and never exceeds what the endpoint itself reports
// as admissible. A model engine stays at coldLimit until it has reported that.
type slowStart struct {
	boot       string // boot ID of the endpoint, empty while unknown
	coldLimit  int
	fullLimit  int
	finished   int // attempts that finished on this boot
	admissible int // limit that the endpoint has reported on this boot, 0 while unknown
	isService  bool
}

func (s *slowStart) configure(info EndpointInfo) {
	s.coldLimit = max(info.ColdConcurrency, 1)
	s.fullLimit = max(info.Concurrency, s.coldLimit)
	s.isService = info.Service != ""
}

// restart begins slow start for a new boot ID; an empty ID means that it is
// unknown, which makes the limit 0.
func (s *slowStart) restart(boot string) {
	s.boot = boot
	s.finished = 0
	s.admissible = 0
}

func (s *slowStart) countFinished(boot string) {
	if boot == s.boot {
		s.finished++
	}
}

func (s *slowStart) setAdmissible(boot string, admissible int) {
	if boot == s.boot && admissible > 0 {
		s.admissible = admissible
	}
}

// limit returns the number of attempts that may be at the endpoint at once.
func (s *slowStart) limit() int {
	if s.boot == "" {
		return 0
	}
	limit := min(s.coldLimit+s.finished, s.fullLimit)
	switch {
	case s.admissible > 0:
		return min(limit, s.admissible)
	case s.isService: // a service need not report a limit
		return limit
	}
	return s.coldLimit
}

// isCold reports whether the limit is below fullLimit. That is so in cold
// start, and also while the endpoint reports less as admissible.
func (s *slowStart) isCold() bool { return s.limit() < s.fullLimit }
