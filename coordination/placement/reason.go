package placement

// Reason says why an endpoint is left out of a choice, or why a plan isn't taken. The texts
// are part of the answer of GET /explain.
type Reason string

const (
	// NoReason means that the endpoint can be chosen.
	NoReason Reason = ""
	// Excluded means that Request.Excluded is true for the endpoint; only its caller knows why.
	Excluded Reason = "excluded"
	Draining Reason = "draining"
	// Busy means that the endpoint asked for no requests for a time.
	Busy           Reason = "busy"
	WaitsForPermit Reason = "waits for a permit"
	// AtColdRate means that an endpoint that is or may be cold has had its requests of the
	// last second, or is left to the entries of its data centre.
	AtColdRate Reason = "cold rate"
	// InBackoff and NotHeard hold for endpoints that are used only as a last resort.
	InBackoff Reason = "in back-off"
	NotHeard  Reason = "silent"
	NoSlot    Reason = "no slot"
	NoMemory  Reason = "no memory"
	// TooLate means that the first event is predicted too late for the caller.
	TooLate Reason = "first event too late"
	// BeginsTooLate means that the reservations for the prompt would end before its prefill
	// is predicted to begin.
	BeginsTooLate Reason = "prefill begins after the end of its reservations"
	// TooCostly means that a plan costs more credit than it earns.
	TooCostly Reason = "costs more credit than it earns"
	// Suspect endpoints are left out of long prompts.
	Suspect Reason = "suspect"
	// NotShortlisted means that maxShortlist others suit a part of a long prompt better.
	NotShortlisted Reason = "not on the shortlist"
	// NoLessLoaded means that an endpoint of another data centre of a plain service is no
	// less loaded than one of this data centre.
	NoLessLoaded Reason = "in another data centre and no less loaded"
)
