package catalogue

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"io"
	"slices"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// maxTextBytes bounds a catalogue's text when it is unpacked.
const maxTextBytes = 16 << 20

// Decode reads a catalogue from the operator's text and checks it.
type Decode func(text []byte) (*Catalogue, error)

// State is the replicated state at one log index. It is never altered.
type State struct {
	Index          uint64
	Text           []byte // as the operator sent it
	Catalogue      *Catalogue
	DataCentresOut []string // data centres out of service, sorted

	digest []byte
	packed []byte
}

// InService reports whether a data centre may get new work.
func (s *State) InService(dataCentre string) bool {
	_, out := slices.BinarySearch(s.DataCentresOut, dataCentre)
	return !out
}

// Version is the catalogue's version, 0 before the first one.
func (s *State) Version() uint64 {
	if s.Catalogue == nil {
		return 0
	}
	return s.Catalogue.Version
}

// Pack turns an operator's text into a change.
func Pack(version uint64, text []byte) (*wire.CatalogueChange, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(text); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the catalogue can't be packed")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the catalogue can't be packed")
	}
	digest := sha256.Sum256(text)
	return &wire.CatalogueChange{Version: version, Content: packed.Bytes(), Digest: digest[:]}, nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "a catalogue can't be unpacked")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "a catalogue can't be unpacked")
	}
	return text, nil
}

// ToWire returns the message of a state.
func (s *State) ToWire() *wire.CatalogueState {
	return &wire.CatalogueState{
		Index:          s.Index,
		Version:        s.Version(),
		Content:        s.packed,
		Digest:         s.digest,
		DataCentresOut: s.DataCentresOut,
	}
}

// FromWire reads the message of a state. The catalogue of known is taken over
// where it is the same one.
func FromWire(m *wire.CatalogueState, known *State, decode Decode) (*State, error) {
	s := &State{Index: m.Index, DataCentresOut: slices.Sorted(slices.Values(m.DataCentresOut)), digest: m.Digest, packed: m.Content}
	if len(m.Content) == 0 {
		return s, nil
	}
	if known != nil && bytes.Equal(known.digest, m.Digest) {
		s.Text, s.Catalogue = known.Text, known.Catalogue
		return s, nil
	}
	var err error
	if s.Text, err = unpack(m.Content); err != nil {
		return nil, err
	}
	s.Catalogue, err = decode(s.Text)
	return s, err
}
