package catalogue

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/trials/bubble"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// slowDecoder decodes as decodeVersion does, counts, and waits for a value from gate first.
type slowDecoder struct {
	gate  chan struct{}
	calls int
}

func (d *slowDecoder) decode(text []byte) (*Catalogue, error) {
	d.calls++
	<-d.gate
	return decodeVersion(text)
}

// Guards against heartbeats and votes that wait in a replica's goroutine while a catalogue
// is decoded, and against a start that decodes each version since the last snapshot.
func TestReplayDecodesTheNewestVersionOnly(t *testing.T) {
	const versions, mayDecode = 400, 2
	bubble.Run(t, func(t *testing.T) {
		decoder := &slowDecoder{gate: make(chan struct{})}
		var published []uint64
		m := NewMachine(decoder.decode, func(s *State) { published = append(published, s.Catalogue.Version) })
		replayed := make(chan struct{})
		go func() {
			defer close(replayed)
			for v := range uint64(versions) {
				install(t, m, v+1, v+1, "")
			}
		}()
		synctest.Wait()
		select {
		case <-replayed:
		default:
			t.Errorf("a version waits until another one is decoded")
		}
		close(decoder.gate)
		synctest.Wait()
		if decoder.calls > mayDecode {
			t.Errorf("%d versions were decoded, want at most %d", decoder.calls, mayDecode)
		}
		if n := len(published); n == 0 || published[n-1] != versions {
			t.Errorf("published: %v", published)
		}
	})
}

// A restore must not wait for the decoder either, and an order that changes no catalogue
// must not have one decoded.
func TestRestoreDoesNotWaitForTheDecoder(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		decoder := &slowDecoder{gate: make(chan struct{})}
		var last *State
		m := NewMachine(decoder.decode, func(s *State) { last = s })
		snapshot, restored := snapshotOf(t, 7), make(chan error, 1)
		go func() { restored <- m.Restore(snapshot) }()
		synctest.Wait()
		select {
		case err := <-restored:
			if err != nil {
				t.Error(err)
			}
		default:
			t.Error("the restore waits for the decoder")
		}
		close(decoder.gate)
		synctest.Wait()
		calls := decoder.calls
		m.Apply(8, dataCentreChange(1, true, 7))
		synctest.Wait()
		if decoder.calls != calls || last.Version() != 7 || last.Text == nil || last.InService("dc1") {
			t.Errorf("%d catalogues decoded for an order, the state is %+v", decoder.calls-calls, last)
		}
	})
}

// snapshotOf returns the snapshot of a machine with one version.
func snapshotOf(t *testing.T, version uint64) []byte {
	t.Helper()
	m := NewMachine(decodeVersion, func(*State) {})
	install(t, m, version, version, "")
	synctest.Wait()
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// A catalogue that this process has decoded for its check must not be decoded again.
func TestOfferedCatalogueIsNotDecoded(t *testing.T) {
	m := NewMachine(func([]byte) (*Catalogue, error) { return nil, errors.New("decoded") }, func(*State) {})
	text := []byte(`{"Version":4}`)
	change, err := Pack(4, text)
	if err != nil {
		t.Fatal(err)
	}
	c, err := decodeVersion(text)
	if err != nil {
		t.Fatal(err)
	}
	m.Offer(change, text, c)
	m.Apply(1, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}})
	if p := m.publisher.published; p == nil || p.Catalogue != c || m.publisher.offered != nil {
		t.Errorf("published: %+v", p)
	}
}

// A catalogue that this build can't decode must not keep a newer one from its place.
func TestNewerVersionFollowsOneThatCannotBeDecoded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		decode := func(text []byte) (*Catalogue, error) {
			if c, err := decodeVersion(text); err != nil || c.Version != 2 {
				return c, err
			}
			return nil, errors.New("not known here")
		}
		var published []uint64
		m := NewMachine(decode, func(s *State) { published = append(published, s.Index) })
		for v := range uint64(3) {
			install(t, m, v+1, v+1, "")
			synctest.Wait()
		}
		if fmt.Sprint(published) != "[1 3]" {
			t.Errorf("published: %v", published)
		}
	})
}

// settle waits until a machine has decoded its newest state.
func settle(m *Machine) {
	for running := true; running; runtime.Gosched() {
		m.publisher.mu.Lock()
		running = m.publisher.running
		m.publisher.mu.Unlock()
	}
}

// eagerMachine decodes each version as it is applied.
type eagerMachine struct {
	state State
}

// apply applies a catalogue and returns its outcome.
func (m *eagerMachine) apply(t *rapid.T, index uint64, change *wire.CatalogueChange) *wire.ChangeOutcome {
	text, err := decompress(change.Content)
	if err != nil {
		t.Fatal(err)
	}
	c, err := decodeVersion(text)
	if err != nil {
		t.Fatal(err)
	}
	conflict := c.Version == m.state.Version() && string(text) != string(m.state.Text)
	if c.Version > m.state.Version() {
		m.state.Index, m.state.Text, m.state.Catalogue, m.state.digest, m.state.compressed = index, text, c, change.Digest, change.Content
	}
	return &wire.ChangeOutcome{Conflict: conflict, Version: m.state.Version(), Index: m.state.Index}
}

// Replicas that decode other versions, and restart at other moments, must reach the state
// and give the answers of one that decodes each version.
func TestMachinesThatSkipVersionsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eager, published := &eagerMachine{}, &State{}
		m := NewMachine(decodeVersion, func(s *State) { published = s })
		for index := range rapid.Uint64Range(1, 40).Draw(t, "changes") {
			text := fmt.Appendf(nil, `{"Version":%d,"note":%q}`, rapid.Uint64Range(1, 12).Draw(t, "version"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "note"))
			c, err := decodeVersion(text)
			if err != nil {
				t.Fatal(err)
			}
			change, err := Pack(c.Version, text)
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "offered") {
				m.Offer(change, text, c)
			}
			want := eager.apply(t, index+1, change)
			if got := m.Apply(index+1, &wire.Command{Of: &wire.Command_Catalogue{Catalogue: change}}); !proto.Equal(want, got.(*wire.ChangeOutcome)) {
				t.Fatalf("outcome %v, want %v", got, want)
			}
			switch rapid.IntRange(0, 4).Draw(t, "then") {
			case 0:
				settle(m)
			case 1:
				snapshot, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				settle(m)
				m = NewMachine(decodeVersion, func(s *State) { published = s })
				if err := m.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
		settle(m)
		if want := eager.state.ToWire(); !proto.Equal(want, m.State().ToWire()) || !proto.Equal(want, published.ToWire()) {
			t.Fatalf("state %v, published %v, want %v", m.State().ToWire(), published.ToWire(), want)
		}
		if string(published.Text) != string(eager.state.Text) {
			t.Fatalf("published %q, want %q", published.Text, eager.state.Text)
		}
	})
}
