package catalogue

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"pgregory.net/rapid"
)

func sample() *Catalogue {
	return &Catalogue{
		Version:  3,
		Services: map[string]*Service{"engine": {Name: "engine"}, "desk": {Name: "desk"}},
		Routes: []Route{
			{Name: "all", Host: "h", PathPrefix: "/", Timeout: time.Second, Split: []Share{{"engine", 1}}},
			{Name: "deep", Host: "h", PathPrefix: "/a/b/", Timeout: time.Second, Split: []Share{{"desk", 1}}},
		},
		Organisations: []Organisation{{Name: "boots", Keys: []string{"k1", "k2"}}, {Name: "dishes", Keys: []string{"k3"}}},
	}
}

func TestBuildRefusesInvalidCatalogues(t *testing.T) {
	cases := map[string]func(c *Catalogue){
		"unknown service": func(c *Catalogue) { c.Routes[0].Split = []Share{{"nobody", 1}} },
		"same place":      func(c *Catalogue) { c.Routes[1].PathPrefix = "/" },
		"no weight":       func(c *Catalogue) { c.Routes[0].Split = []Share{{"engine", 0}} },
		"negative weight": func(c *Catalogue) { c.Routes[0].Split = []Share{{"engine", 2}, {"desk", -1}} },
		"no timeout":      func(c *Catalogue) { c.Routes[0].Timeout = 0 },
		"no slash":        func(c *Catalogue) { c.Routes[0].PathPrefix = "/a" },
		"shared key":      func(c *Catalogue) { c.Organisations[1].Keys = []string{"k1"} },
	}
	if _, err := Build(sample()); err != nil {
		t.Fatalf("the sample is valid: %v", err)
	}
	for name, spoil := range cases {
		c := sample()
		spoil(c)
		if _, err := Build(c); fault.KindOf(err) != fault.InvalidRequest {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestMatchReturnsTheLongestPrefix(t *testing.T) {
	c, err := Build(sample())
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/x": "all", "/a/b/c": "deep", "/a/b": "all"} {
		if got := c.Match("h", path); got == nil || got.Name != want {
			t.Errorf("%s: got %v, want %s", path, got, want)
		}
	}
	if c.Match("other", "/x") != nil {
		t.Error("a host without routes matched")
	}
	if o := c.OrganisationByKey("k2"); o == nil || o.Name != "boots" {
		t.Errorf("the organisation of k2 is %v", o)
	}
}

// decodeVersion returns the sample catalogue with the version in the text.
func decodeVersion(text []byte) (*Catalogue, error) {
	var m struct{ Version uint64 }
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	c := sample()
	c.Version = m.Version
	return Build(c)
}

func install(t rapid.TB, m *Machine, index, version uint64, note string) *wire.ChangeOutcome {
	t.Helper()
	change, err := Pack(version, fmt.Appendf(nil, `{"Version":%d,"note":%q}`, version, note))
	if err != nil {
		t.Fatal(err)
	}
	outcome, ok := m.Apply(index, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}}).(*wire.ChangeOutcome)
	if !ok {
		t.Fatal("no outcome")
	}
	return outcome
}

func TestTheHighestVersionWins(t *testing.T) {
	m := NewMachine(decodeVersion, func(*State) {})
	if o := install(t, m, 1, 5, "a"); o.Conflict || o.Version != 5 {
		t.Fatalf("first: %v", o)
	}
	if o := install(t, m, 2, 5, "a"); o.Conflict {
		t.Error("the same content under the same version must be acknowledged again")
	}
	if o := install(t, m, 3, 5, "b"); !o.Conflict {
		t.Error("other content under the same version must be refused")
	}
	if o := install(t, m, 4, 4, "c"); o.Conflict || o.Version != 5 || m.State().Index != 1 {
		t.Errorf("a lower version must change nothing: %v", o)
	}
	if o := install(t, m, 5, 9, "d"); o.Version != 9 || m.State().Index != 5 {
		t.Errorf("a higher version must take effect: %v", o)
	}
}

// dataCentreChange returns an operator's order for the data centre dc1, given on the state
// with the index givenAt.
func dataCentreChange(operation uint64, out bool, givenAt uint64) *wire.Command {
	return &wire.Command{Of: &wire.Command_DataCentre{DataCentre: &wire.DataCentreChange{DataCentre: "dc1", Out: out, Operation: operation, GivenAt: &givenAt}}}
}

// An operator's change may be proposed twice, when the leader answers late. The second copy
// must not undo a change that another operator has made since, also after a restart.
func TestSecondCopyOfADataCentreChangeUndoesNothing(t *testing.T) {
	m := NewMachine(decodeVersion, func(*State) {})
	m.Apply(1, dataCentreChange(1, false, 0)) // taken back, which changes nothing
	m.Apply(2, dataCentreChange(2, true, 1))
	restart(t, m)
	m.Apply(3, dataCentreChange(1, false, 0))
	if m.State().InService("dc1") {
		t.Error("the second copy of an earlier change has undone a later one")
	}
	if o := m.Apply(4, dataCentreChange(2, true, 1)).(*wire.ChangeOutcome); o.Overtaken {
		t.Error("the second copy of the latest change is not acknowledged")
	}
	m.Apply(5, dataCentreChange(3, false, 2))
	if !m.State().InService("dc1") {
		t.Error("a new change has no effect")
	}
}

// restart replaces the state of a machine with that of its own snapshot.
func restart(t *testing.T, m *Machine) {
	t.Helper()
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
}

// Guards against an order that an operator has given up, and that a process reads late,
// undoing a later order that was acknowledged, also one that changed nothing.
func TestOrderGivenBeforeALaterOneChangesNothing(t *testing.T) {
	for _, out := range []bool{false, true} {
		m := NewMachine(decodeVersion, func(*State) {})
		m.Apply(1, dataCentreChange(1, !out, 0))
		late := dataCentreChange(2, out, 1)
		m.Apply(2, dataCentreChange(3, out, 1)) // given in place of the late one, where out is the other state
		m.Apply(3, dataCentreChange(4, !out, 2))
		restart(t, m)
		if o := m.Apply(4, late).(*wire.ChangeOutcome); !o.Overtaken || m.State().InService("dc1") != out {
			t.Errorf("out=%v: a late order was carried out: %v", out, o)
		}
		again := dataCentreChange(5, out, 3) // given before the next one, which changes nothing
		m.Apply(5, dataCentreChange(6, !out, 3))
		if o := m.Apply(6, again).(*wire.ChangeOutcome); !o.Overtaken || m.State().InService("dc1") != out {
			t.Errorf("out=%v: an order given before one that changed nothing was carried out: %v", out, o)
		}
		if o := m.Apply(7, dataCentreChange(7, out, m.State().Index)).(*wire.ChangeOutcome); o.Overtaken || m.State().InService("dc1") == out {
			t.Errorf("out=%v: a new order was not carried out: %v", out, o)
		}
	}
}

// Guards against orders for ever more data centres growing the state without bound, or
// putting a data centre back into service.
func TestOrdersOfManyDataCentresAreBounded(t *testing.T) {
	m := NewMachine(decodeVersion, func(*State) {})
	for i := range uint64(3 * maxOrders) {
		name := fmt.Sprintf("dc%d", i)
		m.Apply(i+1, &wire.Command{Of: &wire.Command_DataCentre{DataCentre: &wire.DataCentreChange{DataCentre: name, Out: i == 0, Operation: i + 1}}})
	}
	if n := len(m.State().orders); n != maxOrders || m.State().InService("dc0") || m.State().latestOrder("dc0").index != 1 {
		t.Errorf("the state holds %d orders, and dc0 in service=%v", n, m.State().InService("dc0"))
	}
}

// textOf returns the text of a state, as a process that receives it decodes it.
func textOf(t rapid.TB, s *State) string {
	t.Helper()
	received, err := FromWire(s.ToWire(), nil, decodeVersion)
	if err != nil {
		t.Fatal(err)
	}
	return string(received.Text)
}

// Whatever commands are applied, the version and index never decrease, and a
// snapshot restores the state.
func TestVersionAndIndexNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(decodeVersion, func(*State) {})
		index, version, lastIndex := uint64(0), uint64(0), uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			index++
			if rapid.Bool().Draw(t, "catalogue") {
				install(t, m, index, rapid.Uint64Range(1, 6).Draw(t, "version"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "note"))
			} else {
				name := rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "dc")
				out := rapid.Bool().Draw(t, "out")
				m.Apply(index, &wire.Command{Of: &wire.Command_DataCentre{DataCentre: &wire.DataCentreChange{DataCentre: name, Out: out}}})
				if m.State().InService(name) == out {
					t.Fatalf("%s out=%v has no effect", name, out)
				}
			}
			s := m.State()
			if s.Version() < version || s.Index < lastIndex {
				t.Fatalf("version and index decreased from %d/%d to %d/%d", version, lastIndex, s.Version(), s.Index)
			}
			version, lastIndex = s.Version(), s.Index
		}
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		other := NewMachine(decodeVersion, func(*State) {})
		if err := other.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		if a, b := m.State(), other.State(); a.Index != b.Index || a.Version() != b.Version() || textOf(t, a) != textOf(t, b) || fmt.Sprint(a.DataCentresOut) != fmt.Sprint(b.DataCentresOut) {
			t.Fatalf("restored %+v, want %+v", b, a)
		}
	})
}
