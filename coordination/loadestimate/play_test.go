package loadestimate

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The endpoints of the play are those of plain services: 6 slots and a queue of 24.
const (
	playSlots    = 6
	playCapacity = 30
	playMeanMs   = 100 // of a request's service
	playDelay    = 10 * time.Millisecond
	playBackoff  = 60 * time.Millisecond // after a rejection, for every policy
	playSample   = 10 * time.Millisecond
	playTries    = 3 // of one request
	playPeriod   = 2 * time.Second
	// The offered load, as a share of what the endpoints can serve: mean and swing.
	playMeanLoad = 0.875
	playSwing    = 0.175
)

// policy chooses among the endpoints that are not in back-off, by their indexes.
type policy struct {
	name   string
	choose func(p *play, e *playEntry, open []int) int
}

// view is what an entry knows of an endpoint's load: the others' work by the last
// report, and its own as it is.
func (e *playEntry) view(i int) float64 { return float64(e.reported[i] + e.own[i]) }

var (
	bestByReport = policy{"best by the report", func(_ *play, e *playEntry, open []int) int {
		best := open[0]
		for _, i := range open {
			if e.view(i) < e.view(best) {
				best = i
			}
		}
		return best
	}}
	betterOfTwo = policy{"better of two", func(p *play, e *playEntry, open []int) int {
		first := p.random.IntN(len(open))
		second := (first + 1 + p.random.IntN(max(1, len(open)-1))) % len(open)
		if e.view(open[second]) < e.view(open[first]) {
			return open[second]
		}
		return open[first]
	}}
	atRandom  = policy{"at random", func(p *play, _ *playEntry, open []int) int { return open[p.random.IntN(len(open))] }}
	estimated = policy{"estimated", func(p *play, e *playEntry, open []int) int {
		options := p.options[:0]
		for _, i := range open {
			load := e.estimates[i].Load(p.now) + float64(e.own[i])
			load = e.rejections[i].Correct(load, playCapacity-1, p.now)
			options = append(options, Option{Load: load, Slots: playSlots, Capacity: playCapacity})
		}
		chosen := p.picker.Pick(options, e.group.UnknownArrivals(p.now))
		if chosen < 0 {
			return open[p.random.IntN(len(open))]
		}
		return open[chosen]
	}}
)

type playEntry struct {
	own, reported []int
	backoffUntil  []time.Time
	group         *Group
	estimates     []*Endpoint
	rejections    []Rejection
	open          []int
}

// play simulates entries that send requests to shared endpoints in virtual time, and
// that know each other's work by reports only.
type play struct {
	now      time.Time
	events   playEvents
	random   *rand.Rand // of the policies
	arrivals *rand.Rand // of arrivals and service times, the same for all policies
	policy   policy
	entries  []*playEntry
	queues   [][]*playRequest // at the endpoints, those served first
	interval time.Duration    // of the reports
	options  []Option
	picker   *Picker
	result   playResult
}

type playRequest struct {
	entry   *playEntry
	service time.Duration
}

// playResult is what a policy achieves.
type playResult struct {
	arrivals, rejected int
	busiest            float64       // endpoint relative to the mean of the offered load, averaged over time
	avoidable          time.Duration // in which an endpoint rejected while another had room
	samples            int
	avoidableAt        time.Time
}

func newPlay(seed uint64, entries, endpoints int, interval time.Duration, by policy) *play {
	p := &play{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), policy: by,
		queues: make([][]*playRequest, endpoints), interval: interval, options: make([]Option, 0, endpoints),
	}
	p.picker = NewPicker(p.random)
	for range entries {
		e := &playEntry{own: make([]int, endpoints), reported: make([]int, endpoints), backoffUntil: make([]time.Time, endpoints), group: NewGroup(), rejections: make([]Rejection, endpoints)}
		for range endpoints {
			e.estimates = append(e.estimates, e.group.Add(0, p.now))
		}
		p.entries = append(p.entries, e)
	}
	return p
}

// run plays for a time and returns the result.
func (p *play) run(lasting time.Duration) playResult {
	end := p.now.Add(lasting)
	p.after(0, p.report)
	p.after(0, p.sample)
	p.arrive()
	for p.now.Before(end) {
		next := heap.Pop(&p.events).(playEvent)
		p.now = next.at
		next.do()
	}
	p.result.busiest /= float64(p.result.samples)
	return p.result
}

// arrive generates the arrivals, more in one half of each period than in the other.
func (p *play) arrive() {
	load := playMeanLoad + playSwing
	if p.now.UnixNano()%int64(playPeriod) >= int64(playPeriod/2) {
		load = playMeanLoad - playSwing
	}
	perMs := load * playSlots / playMeanMs * float64(len(p.queues))
	wait := time.Duration(p.arrivals.ExpFloat64() / perMs * float64(time.Millisecond))
	p.after(wait, func() {
		service := time.Duration(p.arrivals.ExpFloat64() * playMeanMs * float64(time.Millisecond))
		e := p.entries[p.arrivals.IntN(len(p.entries))]
		p.result.arrivals++
		p.send(&playRequest{e, service}, playTries)
		p.arrive()
	})
}

// send chooses an endpoint and sends the request, again when it is rejected.
func (p *play) send(r *playRequest, tries int) {
	e := r.entry
	e.open = e.open[:0]
	for i := range p.queues {
		if !p.now.Before(e.backoffUntil[i]) {
			e.open = append(e.open, i)
		}
	}
	if len(e.open) == 0 {
		for i := range p.queues {
			e.open = append(e.open, i)
		}
	}
	i := p.policy.choose(p, e, e.open)
	if len(p.queues[i]) < playCapacity {
		e.own[i]++
		p.queues[i] = append(p.queues[i], r)
		if len(p.queues[i]) <= playSlots {
			p.serve(i, r)
		}
		return
	}
	p.reject(e, i)
	if tries > 1 {
		p.send(r, tries-1)
	}
}

// reject counts a rejection.
func (p *play) reject(e *playEntry, i int) {
	p.result.rejected++
	e.backoffUntil[i] = p.now.Add(playBackoff)
	e.rejections[i].Record(p.now)
	for j := range p.queues {
		if len(p.queues[j]) < playCapacity {
			if slot := p.now.Truncate(playSample); slot != p.result.avoidableAt {
				p.result.avoidableAt = slot
				p.result.avoidable += playSample
			}
			return
		}
	}
}

// serve ends a request after its service time and begins the next one that waits.
func (p *play) serve(i int, r *playRequest) {
	p.after(r.service, func() {
		r.entry.own[i]--
		queue := p.queues[i]
		for at := range queue {
			if queue[at] == r {
				queue = append(queue[:at], queue[at+1:]...)
				break
			}
		}
		p.queues[i] = queue
		if len(queue) >= playSlots {
			p.serve(i, queue[playSlots-1])
		}
	})
}

// report sends all entries the load of the endpoints, at intervals. An entry's own work
// isn't in the report that it applies.
func (p *play) report() {
	for _, e := range p.entries {
		reported := make([]int, len(p.queues))
		for i := range reported {
			reported[i] = len(p.queues[i]) - e.own[i]
		}
		p.after(playDelay, func() {
			e.reported = reported
			for i, load := range reported {
				e.estimates[i].Use(p.now)
				e.estimates[i].SetLoad(float64(load))
			}
			e.group.Apply(p.now)
		})
	}
	p.after(p.interval, p.report)
}

// sample measures the busiest endpoint, at intervals. It is compared with the offered load,
// as a policy that makes requests queue would look better beside its own mean.
func (p *play) sample() {
	busiest := 0
	for i := range p.queues {
		busiest = max(busiest, len(p.queues[i]))
	}
	p.result.busiest += float64(busiest) / (playMeanLoad * playSlots)
	p.result.samples++
	p.after(playSample, p.sample)
}

func (p *play) after(wait time.Duration, do func()) {
	heap.Push(&p.events, playEvent{p.now.Add(wait), do})
}

type playEvent struct {
	at time.Time
	do func()
}

type playEvents []playEvent

func (t playEvents) Len() int           { return len(t) }
func (t playEvents) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t playEvents) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *playEvents) Push(x any)        { *t = append(*t, x.(playEvent)) }
func (t *playEvents) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
