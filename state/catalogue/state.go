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

// maxTextBytes bounds the memory for a decompressed catalogue, so that a small change
// can't expand without limit. It is twice what the control plane API accepts as a
// configuration. A longer text is cut at the limit without an error of its own; Decode
// then gets an incomplete document.
const maxTextBytes = 16 << 20

// Decode parses the operator's text of a catalogue and checks it.
type Decode func(text []byte) (*Catalogue, error)

// State is the replicated state at one log index. It is never modified.
type State struct {
	Index          uint64
	Text           []byte // as the operator sent it
	Catalogue      *Catalogue
	DataCentresOut []string // sorted
	Quarantined    []QuarantinedPart

	version    uint64 // of the content, also where it is not decoded
	digest     []byte
	compressed []byte
	orders     []order // sorted by data centre
}

// InService reports whether a data centre may receive new work.
func (s *State) InService(dataCentre string) bool {
	_, out := slices.BinarySearch(s.DataCentresOut, dataCentre)
	return !out
}

// Version returns the catalogue's version, or 0 before the first one.
func (s *State) Version() uint64 {
	if s.Catalogue == nil {
		return s.version
	}
	return s.Catalogue.Version
}

// Pack compresses an operator's text into a change.
func Pack(version uint64, text []byte) (*wire.CatalogueChange, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(text); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the catalogue can't be compressed")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the catalogue can't be compressed")
	}
	digest := sha256.Sum256(text)
	return &wire.CatalogueChange{Version: version, Content: compressed.Bytes(), Digest: digest[:]}, nil
}

// decompress returns the first maxTextBytes of the text.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "the catalogue can't be decompressed")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "the catalogue can't be decompressed")
	}
	return text, nil
}

// ToWire encodes a state.
func (s *State) ToWire() *wire.CatalogueState {
	return &wire.CatalogueState{
		Index:          s.Index,
		Version:        s.Version(),
		Content:        s.compressed,
		Digest:         s.digest,
		DataCentresOut: s.DataCentresOut,
		Quarantined:    quarantinedToWire(s.Quarantined),
		Orders:         ordersToWire(s.orders),
	}
}

// FromWire decodes a state. It reuses the catalogue of known, which may be nil, if
// the digests are equal.
func FromWire(m *wire.CatalogueState, known *State, decode Decode) (*State, error) {
	return undecoded(m).decoded(known, decode)
}

// undecoded returns a state whose catalogue is not decoded: Text and Catalogue are nil.
func undecoded(m *wire.CatalogueState) *State {
	return &State{
		Index:          m.Index,
		DataCentresOut: slices.Sorted(slices.Values(m.DataCentresOut)),
		Quarantined:    quarantinedFromWire(m.Quarantined),
		version:        m.Version,
		digest:         m.Digest,
		compressed:     m.Content,
		orders:         ordersFromWire(m.Orders),
	}
}

// decoded returns a copy with Text and Catalogue. It takes them from known, which may be
// nil, if the digests are equal.
func (s *State) decoded(known *State, decode Decode) (*State, error) {
	next := *s
	if len(s.compressed) == 0 {
		return &next, nil
	}
	if known != nil && bytes.Equal(known.digest, s.digest) {
		next.Text, next.Catalogue = known.Text, known.Catalogue
		return &next, nil
	}
	var err error
	if next.Text, err = decompress(s.compressed); err != nil {
		return nil, err
	}
	next.Catalogue, err = decode(next.Text)
	return &next, err
}
