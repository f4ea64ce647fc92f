package bench

import (
	"fmt"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
)

// CompareIsolation compares ways to keep short requests from waiting behind long
// prefills: the adaptive policy, endpoints shared by all lengths, and pools of
// the given sizes reserved for prompts of up to boundary tokens.
func CompareIsolation(s Experiment, boundary uint64, poolSizes []int) (withoutLong Figures, list []Figures, err error) {
	s.Options.Policy = "adaptive"
	if withoutLong, err = s.WithoutLong(); err != nil {
		return withoutLong, nil, err
	}
	shared := []routing.Scorer{routing.FirstTokenScorer{}, routing.PrefixScorer{}}
	add := func(name string) error {
		figures, err := s.Measure(name)
		list = append(list, figures)
		return err
	}
	if err = add("adaptive boundary"); err != nil {
		return withoutLong, nil, err
	}
	s.Options.Scorers = shared
	if err = add("shared"); err != nil {
		return withoutLong, nil, err
	}
	for _, count := range poolSizes {
		s.Options.ShortPool = ShortPool{Endpoints: count, MaxTokens: boundary}
		if err = add(fmt.Sprintf("pool of %d to %dk", count, boundary/1000)); err != nil {
			return withoutLong, nil, err
		}
	}
	return withoutLong, list, nil
}
