package gate

// ramp bounds the attempts at an endpoint. After each start of the endpoint the
// bound is the cold limit; it grows with work that finished since that start
// and never beyond what the endpoint itself reports as admissible.
type ramp struct {
	boot       string // boot id of the endpoint, empty while unknown
	cold       int
	full       int
	finished   int // attempts finished on this boot
	admissible int // the endpoint's own figure on this boot, 0 while unknown
	service    bool
}

func (r *ramp) configure(info EndpointInfo) {
	r.cold = max(info.ColdConcurrency, 1)
	r.full = max(info.Concurrency, r.cold)
	r.service = info.Service != ""
}

// restart begins a new boot; an empty id means that it is not known yet.
func (r *ramp) restart(boot string) {
	r.boot = boot
	r.finished = 0
	r.admissible = 0
}

func (r *ramp) finish(boot string) {
	if boot == r.boot {
		r.finished++
	}
}

func (r *ramp) report(boot string, admissible int) {
	if boot == r.boot && admissible > 0 {
		r.admissible = admissible
	}
}

// limit is the number of attempts that may be at the endpoint at once.
func (r *ramp) limit() int {
	if r.boot == "" {
		return 0
	}
	limit := min(r.cold+r.finished, r.full)
	switch {
	case r.admissible > 0:
		return min(limit, r.admissible)
	case r.service: // need not report a figure
		return limit
	}
	return r.cold
}

func (r *ramp) isCold() bool { return r.limit() < r.full }
