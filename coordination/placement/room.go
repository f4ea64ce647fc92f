package placement

import (
	"math"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
)

// Room describes how full the endpoints of a demand are, for the log.
type Room struct {
	Endpoints  int
	Candidates int // that may be asked now
	Answers    int // at the candidates
	Least      int // answers at the emptiest candidate
	// Wait is the least time after which a candidate is predicted to be done
	// with the reading it has, and to have a slot.
	Wait time.Duration
}

// Room looks at the endpoints as Choose does.
func (b *Book) Room(endpoints []*directory.Endpoint, d *Demand) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Room{Endpoints: len(endpoints), Least: math.MaxInt, Wait: math.MaxInt64}
	for _, c := range b.candidates(endpoints, d) {
		r.Candidates++
		r.Answers += c.answers
		r.Least = min(r.Least, c.answers)
		wait := c.backlog.Ms
		if d.Service.Engine != nil {
			wait += c.slotWaitMs(d.Service.Engine)
		}
		r.Wait = min(r.Wait, fromMs(wait))
	}
	if r.Candidates == 0 {
		r.Least, r.Wait = 0, doubtFirst
	}
	return r
}
