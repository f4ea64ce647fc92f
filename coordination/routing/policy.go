package routing

import "fmt"

// Policy is a named combination of scorers and a picker.
type Policy struct {
	Name    string
	Scorers []Scorer
	Picker  Picker
}

// PolicyNames lists the policies: the adaptive one and the baselines that it is
// compared with.
var PolicyNames = []string{"adaptive", "random", "round-robin", "fewest-outstanding"}

// NewPolicy returns the policy with the given name.
func NewPolicy(name string) (Policy, error) { return NewSeededPolicy(name, nil) }

// NewSeededPolicy returns the policy with the given name and its own random
// source.
func NewSeededPolicy(name string, random IntN) (Policy, error) {
	switch name {
	case "adaptive":
		return Policy{name, []Scorer{FirstTokenScorer{}, PrefixScorer{}, LengthScorer{}}, SampledPicker{random}}, nil
	case "random":
		return Policy{name, nil, RandomPicker{random}}, nil
	case "round-robin":
		return Policy{name, nil, &RoundRobinPicker{}}, nil
	case "fewest-outstanding":
		return Policy{name, []Scorer{OutstandingScorer{}}, LeastCostPicker{random}}, nil
	}
	return Policy{}, fmt.Errorf("unknown policy %q: use one of %v", name, PolicyNames)
}
