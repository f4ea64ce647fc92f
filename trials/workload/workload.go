// Package workload plans the requests of the named workloads: which organisation sends
// each one, its prompt and output length, and its send time.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Workload describes the requests that the callers of a fleet send.
type Workload struct {
	Name            string
	Organisations   []Organisation
	Lengths         []LengthBand
	MaxOutputTokens int // each request asks for a random number from a quarter of it up to it, exclusive
}

// Organisation is a sender. Its share of the requests is its weight divided by the sum
// of all weights.
type Organisation struct {
	Name   string
	Weight float64
}

// LengthBand is a range of prompt lengths, which are drawn log-uniformly. Its share of
// the requests is its weight divided by the sum of all weights.
type LengthBand struct {
	FromTokens int
	ToTokens   int
	Weight     float64
}

// PlannedRequest is one request of a plan. Number counts from 0.
type PlannedRequest struct {
	Number       int
	At           time.Duration // since the start of the run
	Organisation string
	PromptTokens int
	OutputTokens int
}

// Named returns a workload by its name.
func Named(name string) (Workload, error) {
	for _, w := range []Workload{kartuliWorkload(), kitamuraWorkload(), targetWorkload()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("unknown workload %q: use kartuli, kitamura or target", name)
}

// kartuliWorkload has 10 organisations. It has more prompts above 4,000 tokens and longer
// answers than kitamuraWorkload.
func kartuliWorkload() Workload {
	return Workload{
		Name:            "kartuli",
		Organisations:   organisations("club", 10, 3, 6),
		MaxOutputTokens: 128,
		Lengths: []LengthBand{
			{1_000, 4_000, 60}, {4_000, 32_000, 30}, {32_000, 100_000, 8}, {100_000, 1_000_000, 2},
		},
	}
}

// kitamuraWorkload has 10 organisations and mostly prompts of up to 4,000 tokens.
func kitamuraWorkload() Workload {
	return Workload{
		Name:            "kitamura",
		Organisations:   organisations("site", 10, 2, 8),
		MaxOutputTokens: 96,
		Lengths: []LengthBand{
			{1_000, 4_000, 80}, {4_000, 32_000, 15}, {32_000, 100_000, 3}, {100_000, 600_000, 2},
		},
	}
}

// targetWorkload has the most organisations, 40, and the longest answers of the workloads.
func targetWorkload() Workload {
	return Workload{
		Name:            "target",
		Organisations:   organisations("tenant", 40, 4, 20),
		MaxOutputTokens: 200,
		Lengths: []LengthBand{
			{1_000, 4_000, 65}, {4_000, 32_000, 25}, {32_000, 100_000, 8}, {100_000, 1_000_000, 2},
		},
	}
}

// organisations returns count organisations. The first heavyCount have the weight
// heavyWeight, the others have weight 1.
func organisations(prefix string, count, heavyCount int, heavyWeight float64) []Organisation {
	list := make([]Organisation, count)
	for i := range list {
		list[i] = Organisation{Name: fmt.Sprintf("%s%d", prefix, i+1), Weight: 1}
		if i < heavyCount {
			list[i].Weight = heavyWeight
		}
	}
	return list
}

// Plan returns the requests of a run, as Poisson arrivals at a mean rate in requests per
// second. Equal seeds give equal plans.
func (w Workload) Plan(seed uint64, rate float64, duration time.Duration) []PlannedRequest {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []PlannedRequest
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return plan
		}
		plan = append(plan, PlannedRequest{
			Number:       len(plan),
			At:           at,
			Organisation: w.pickOrganisation(random).Name,
			PromptTokens: w.pickLength(random),
			OutputTokens: w.MaxOutputTokens/4 + random.IntN(w.MaxOutputTokens*3/4),
		})
	}
}

func (w Workload) pickOrganisation(random *rand.Rand) Organisation {
	total := 0.0
	for _, o := range w.Organisations {
		total += o.Weight
	}
	at := random.Float64() * total
	for _, o := range w.Organisations {
		if at -= o.Weight; at < 0 {
			return o
		}
	}
	return w.Organisations[len(w.Organisations)-1]
}

// pickLength draws a band by its weight and a length within it. The last line is reached
// only through rounding errors of the sums of weights.
func (w Workload) pickLength(random *rand.Rand) int {
	total := 0.0
	for _, band := range w.Lengths {
		total += band.Weight
	}
	at := random.Float64() * total
	for _, band := range w.Lengths {
		if at -= band.Weight; at < 0 {
			return band.randomLength(random)
		}
	}
	return w.Lengths[len(w.Lengths)-1].ToTokens
}

func (b LengthBand) randomLength(random *rand.Rand) int {
	ratio := float64(b.ToTokens) / float64(b.FromTokens)
	return int(float64(b.FromTokens) * math.Pow(ratio, random.Float64()))
}
