package loadestimate

import (
	"cmp"
	"math"
	"slices"
)

const (
	// freshShare is the share of the slots of all options up to which unknown arrivals allow
	// two options to be drawn and compared. With more unknown arrivals, comparing stale
	// estimates causes more rejections than drawing one option.
	freshShare = 0.75
	// staleFactor and freshFactor multiply the unknown arrivals before the options are filled
	// up, as single endpoints get more or fewer of them than the mean. With 1, the emptiest
	// endpoints are overloaded by chance. freshFactor is larger, as the comparison of two draws
	// makes up for a wider choice.
	staleFactor = 3
	freshFactor = 24
	// minArrivals is the least number of unknown arrivals that a choice assumes. It is much
	// less than one request, and lets equal options share the choices.
	minArrivals = 0.001
)

// Option is an endpoint that can be chosen.
type Option struct {
	Load     float64 // estimated requests, with all costs that count as requests
	Slots    float64 // requests that it serves at once, above 0
	Capacity float64 // requests that it holds
}

// Random is a source of numbers in [0, 1).
type Random interface{ Float64() float64 }

// Picker chooses among options. Its choices depend on its arguments and its random source
// only.
type Picker struct {
	random Random
	steps  []fillStep // reused
}

// NewPicker returns a picker that draws from a random source.
func NewPicker(random Random) *Picker { return &Picker{random: random} }

// Pick returns the index of the chosen option, -1 when none has free capacity. The options
// are filled up to a common load per slot, such that they take a multiple of the unknown
// arrivals. They are drawn in proportion to their free capacity below that level. Without unknown
// arrivals the least loaded options are drawn; with many, all by their free capacity.
func (p *Picker) Pick(options []Option, unknownArrivals float64) int {
	level, compare := p.level(options, unknownArrivals)
	first := p.draw(options, level)
	if first < 0 || !compare {
		return first
	}
	second := p.draw(options, level)
	if options[second].loadPerSlot() < options[first].loadPerSlot() {
		return second
	}
	return first
}

// Eligible returns the indices of the options that Pick may draw. It draws none.
func (p *Picker) Eligible(options []Option, unknownArrivals float64) []int {
	level, _ := p.level(options, unknownArrivals)
	var eligible []int
	for i := range options {
		if options[i].freeBelow(level) > 0 {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// level returns the load per slot below which options are drawn, and whether two are drawn
// and compared.
func (p *Picker) level(options []Option, unknownArrivals float64) (level float64, compare bool) {
	if math.IsInf(unknownArrivals, 1) {
		return unknownArrivals, false
	}
	slots := 0.0
	for i := range options {
		slots += options[i].Slots
	}
	if unknownArrivals > freshShare*slots {
		return p.fillLevel(options, staleFactor*unknownArrivals), false
	}
	return p.fillLevel(options, freshFactor*max(unknownArrivals, minArrivals)), true
}

// draw returns the index of an option drawn in proportion to its free capacity below a load
// per slot, -1 when all are above it or full.
func (p *Picker) draw(options []Option, level float64) int {
	total := 0.0
	for i := range options {
		total += options[i].freeBelow(level)
	}
	point := p.random.Float64() * total
	chosen := -1
	for i := range options {
		free := options[i].freeBelow(level)
		if free <= 0 {
			continue
		}
		chosen = i
		if point -= free; point < 0 {
			break
		}
	}
	return chosen
}

func (o *Option) loadPerSlot() float64 { return o.Load / o.Slots }

// freeBelow returns the capacity that is free below a load per slot.
func (o *Option) freeBelow(level float64) float64 {
	return max(0, min(level*o.Slots, o.Capacity)-o.Load)
}

// fillStep is a load per slot at which an option begins to be filled or is full.
type fillStep struct {
	level float64
	slots float64 // of the option, negative when it is full
}

// fillLevel returns the load per slot up to which the options take the given number of
// requests. When they can't take as many, it is the highest that any of them can reach.
func (p *Picker) fillLevel(options []Option, requests float64) float64 {
	p.steps = p.steps[:0]
	for i := range options {
		if o := &options[i]; o.Load < o.Capacity {
			begin := fillStep{level: o.loadPerSlot(), slots: o.Slots}
			full := fillStep{level: o.Capacity / o.Slots, slots: -o.Slots}
			p.steps = append(p.steps, begin, full)
		}
	}
	slices.SortFunc(p.steps, func(x, y fillStep) int { return cmp.Compare(x.level, y.level) })
	level, slots := 0.0, 0.0
	for _, s := range p.steps {
		filled := (s.level - level) * slots
		if filled >= requests {
			return level + requests/slots
		}
		requests -= filled
		level = s.level
		slots += s.slots
	}
	return level
}
