package group

import (
	"fmt"
	"iter"
	"maps"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"pgregory.net/rapid"
)

// A plan covers the prompt, fits the free memory of each member and splits at block
// boundaries. There is a plan whenever the whole blocks of free memory suffice.
func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.Uint64Range(1, 1_500_000).Draw(t, "tokens")
		output := rapid.Uint64Range(0, 60_000).Draw(t, "output")
		var candidates []Candidate
		var sum, room, most uint64
		free := map[string]uint64{}
		for i, size := range rapid.SliceOfN(rapid.Uint64Range(0, 500_000), 2, 7).Draw(t, "sizes") {
			name := fmt.Sprint("e", i)
			candidates = append(candidates, Candidate{Name: name, FreeTokens: size})
			free[name] = size
			room += size / prompt.BlockTokens * prompt.BlockTokens
			most = max(most, size)
		}
		members := Plan(tokens, output, candidates)
		fits := room >= tokens+output+prompt.BlockTokens && most >= output+prompt.BlockTokens
		if members == nil && fits && tokens > most {
			t.Fatalf("no plan for %d tokens in %v", tokens, candidates)
		}
		for i, m := range members {
			last := i == len(members)-1
			if m.ReserveTokens > free[m.Name] || m.Tokens == 0 || !last && m.Tokens%prompt.BlockTokens != 0 || last && m.ReserveTokens != m.Tokens+output {
				t.Fatalf("member %+v of %d free, last %v", m, free[m.Name], last)
			}
			free[m.Name] = 0
			sum += m.Tokens
		}
		if members != nil && sum != tokens {
			t.Fatalf("%d of %d tokens", sum, tokens)
		}
	})
}

// testReserver makes the reservations of one group in memory that several groups
// share. Each call first yields, so that the test can interleave the groups.
type testReserver struct {
	free, held map[string]uint64
	yield      func(struct{}) bool
	members    []Member
}

func (o *testReserver) Reserve(m Member) Reply {
	o.yield(struct{}{})
	if o.free[m.Name] < m.ReserveTokens {
		return Reply{FreeTokens: o.free[m.Name]}
	}
	o.free[m.Name] -= m.ReserveTokens
	o.held[m.Name] += m.ReserveTokens
	return Reply{Reserved: true}
}

func (o *testReserver) Release(m Member) {
	o.yield(struct{}{})
	o.free[m.Name] += o.held[m.Name]
	delete(o.held, m.Name)
}

// Two groups reserve at the same time where there is room for one, with their calls
// in any order: one gets all it needs, and the other holds nothing and succeeds
// afterwards.
func TestTwoGroupsDontDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, tokens, output = 450_000, 1_000_000, 1000
		free := map[string]uint64{"e1": size, "e2": size, "e3": size}
		run := func(o *testReserver) iter.Seq[struct{}] {
			return func(yield func(struct{}) bool) {
				o.yield = yield
				o.members = Reserve(tokens, output, []Candidate{{"e1", size, size}, {"e2", 0, size}, {"e3", 10_000, size}}, o)
			}
		}
		var groups [2]*testReserver
		var steps [2]func() (struct{}, bool)
		for i := range groups {
			groups[i] = &testReserver{free: free, held: map[string]uint64{}}
			step, stop := iter.Pull(run(groups[i]))
			defer stop()
			steps[i] = step
		}
		for more := [2]bool{true, true}; more[0] || more[1]; {
			i := rapid.IntRange(0, 1).Draw(t, "next")
			_, more[i] = steps[i]()
		}
		winner, other := groups[0], groups[1]
		if winner.members == nil {
			winner, other = other, winner
		}
		if winner.members == nil || other.members != nil || len(other.held) > 0 {
			t.Fatalf("%v and %v are reserved", winner.held, other.held)
		}
		for name, tokens := range maps.All(winner.held) {
			free[name] += tokens
		}
		for range run(other) {
		}
		if other.members == nil {
			t.Fatal("the refused group gets no memory after the other has released its own")
		}
	})
}
