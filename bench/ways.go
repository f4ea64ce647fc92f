package bench

import (
	"fmt"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
)

// CompareIsolation compares ways to keep short requests off the path of long prefills.
func CompareIsolation(s Experiment, boundary uint64, lanes []int) (alone Figures, list []Figures, err error) {
	s.Options.Policy = "adaptive"
	if alone, err = s.WithoutLong(); err != nil {
		return alone, nil, err
	}
	shared := []routing.Scorer{routing.FirstTokenScorer{}, routing.PrefixScorer{}}
	add := func(name string) error {
		figures, err := s.Measure(name)
		list = append(list, figures)
		return err
	}
	if err = add("adaptive boundary"); err != nil {
		return alone, nil, err
	}
	s.Options.Scorers = shared
	if err = add("shared"); err != nil {
		return alone, nil, err
	}
	for _, count := range lanes {
		s.Options.ShortPool = ShortPool{Endpoints: count, MaxTokens: boundary}
		if err = add(fmt.Sprintf("lane of %d to %dk", count, boundary/1000)); err != nil {
			return alone, nil, err
		}
	}
	return alone, list, nil
}
