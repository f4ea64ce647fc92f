package catalogue

import (
	"bytes"
	"sync"

	"github.com/apricotspoke/apricotspoke/telemetry/logs"
)

// publisher decodes the newest state, one at a time, and passes it on. States that are
// replaced before their turn are never decoded.
type publisher struct {
	decode   Decode
	onChange func(*State)
	logger   *logs.Logger

	mu        sync.Mutex
	newest    *State // not decoded
	published *State // decoded, nil before the first one
	offered   *State // the catalogue of a change that may be applied; nil for none
	running   bool   // a goroutine decodes
}

// offer keeps the decoded catalogue of a change, unless a higher version is kept or
// published.
func (p *publisher) offer(s *State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.offered != nil && s.Version() <= p.offered.Version() || p.published != nil && s.Version() <= p.published.Version() {
		return
	}
	p.offered = s
}

// publish makes s the newest state. It passes s on at once if its catalogue is known and
// no other state is being decoded.
func (p *publisher) publish(s *State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = s
	if p.running {
		return
	}
	if known := p.known(s); known != nil || len(s.compressed) == 0 {
		next, err := s.decoded(known, p.decode)
		p.pass(next, err)
		return
	}
	p.running = true
	go p.run()
}

// known returns a decoded state with the catalogue of s, or nil.
func (p *publisher) known(s *State) *State {
	for _, known := range []*State{p.published, p.offered} {
		if known != nil && bytes.Equal(known.digest, s.digest) {
			return known
		}
	}
	return nil
}

// run decodes and passes on the newest state until there is no newer one.
func (p *publisher) run() {
	for s, known := p.next(nil); s != nil; s, known = p.next(s) {
		next, err := s.decoded(known, p.decode)
		p.mu.Lock()
		if err != nil {
			p.logger.Error().Uint64("index", s.Index).Uint64("version", s.Version()).Err(err).
				Msg("A committed catalogue can't be decoded, so this process stays behind; run the same version of the program everywhere or install a newer catalogue.")
		}
		p.pass(next, err)
		p.mu.Unlock()
	}
}

// next returns the newest state and what is known of it. If last is still the newest one,
// it returns nil, and run must end.
func (p *publisher) next(last *State) (s, known *State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest == last {
		p.running = false
		return nil, nil
	}
	return p.newest, p.known(p.newest)
}

// pass passes a decoded state on. The caller holds the mutex, so the states come in order.
func (p *publisher) pass(s *State, err error) {
	if err != nil {
		return
	}
	p.published = s
	if p.offered != nil && p.offered.Version() <= s.Version() {
		p.offered = nil
	}
	p.onChange(s)
}
