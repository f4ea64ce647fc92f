package contract

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"go.yaml.in/yaml/v3"
)

// FileVersion is the version of the contract file format that Parse reads.
const FileVersion = 1

const (
	hashPrefix = "sha256:" // followed by 64 hexadecimal digits
	keyPrefix  = "key:"    // followed by the bearer key itself
)

// file is the layout of version 1 of the contract file.
type file struct {
	Version      int      `yaml:"version"`
	Organisation string   `yaml:"organisation"`
	Keys         []key    `yaml:"keys"`
	Models       []string `yaml:"models"`
	Services     []string `yaml:"services"`
	Limits       limits   `yaml:"limits"`
	Priority     int32    `yaml:"priority"`
	Share        *float64 `yaml:"share"`
	Deadlines    []band   `yaml:"deadlines"`
}

type limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	RequestBurst      float64 `yaml:"request_burst"`
	TokensPerSecond   float64 `yaml:"tokens_per_second"`
	TokenBurst        float64 `yaml:"token_burst"`
	Concurrency       uint32  `yaml:"concurrency"`
	MaxPromptTokens   uint32  `yaml:"max_prompt_tokens"`
	MaxOutputTokens   uint32  `yaml:"max_output_tokens"`
}

type band struct {
	UpToTokens  uint32        `yaml:"up_to_tokens"`
	FirstToken  time.Duration `yaml:"first_token"`
	WholeAnswer time.Duration `yaml:"whole_answer"`
}

// key is the hash of a bearer key, written as "sha256:HEX" or "key:TEXT", with or
// without a space after the colon.
type key struct{ hash []byte }

// UnmarshalYAML decodes a key. It hashes a plain key at once, so that the plain text
// is not kept.
func (k *key) UnmarshalYAML(node *yaml.Node) error {
	text := node.Value
	if node.Kind == yaml.MappingNode && len(node.Content) == 2 {
		text = node.Content[0].Value + ":" + node.Content[1].Value
	}
	if digits, ok := strings.CutPrefix(text, hashPrefix); ok {
		hash, err := hex.DecodeString(strings.TrimSpace(digits))
		if err != nil || len(hash) != sha256.Size {
			return keyError(node, "sha256: needs 64 hexadecimal digits")
		}
		k.hash = hash
		return nil
	}
	plain, ok := strings.CutPrefix(text, keyPrefix)
	plain = strings.TrimSpace(plain)
	if !ok || plain == "" {
		return keyError(node, "give sha256:HEX or key:TEXT")
	}
	sum := sha256.Sum256([]byte(plain))
	k.hash = sum[:]
	return nil
}

// keyError returns a yaml.TypeError: the decoder collects errors of this type and
// continues with the next field.
func keyError(node *yaml.Node, text string) error {
	return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: keys: %s", node.Line, text)}}
}

// Parse parses and checks a contract file. Its InvalidRequest error lists the unknown
// fields and wrong types or, if there are none, all problems that Check finds.
func Parse(data []byte) (*wire.Contract, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var f file
	if err := decoder.Decode(&f); err != nil {
		return nil, decodeError(err)
	}
	if err := decoder.Decode(&file{}); !errors.Is(err, io.EOF) {
		return nil, fault.New(fault.InvalidRequest, "the file holds more than one document; give each contract its own file")
	}
	if f.Version != FileVersion {
		return nil, fault.New(fault.InvalidRequest, "version: %d is unknown; write version: %d", f.Version, FileVersion)
	}
	c := f.contract()
	if err := Check(c); err != nil {
		return nil, err
	}
	return c, nil
}

func decodeError(err error) error {
	if errors.Is(err, io.EOF) {
		return fault.New(fault.InvalidRequest, "the file is empty")
	}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		return invalid(typeError.Errors)
	}
	return fault.New(fault.InvalidRequest, "%s", err)
}

func (f *file) contract() *wire.Contract {
	c := &wire.Contract{
		Organisation:      f.Organisation,
		Models:            f.Models,
		Services:          f.Services,
		RequestsPerSecond: f.Limits.RequestsPerSecond,
		RequestBurst:      f.Limits.RequestBurst,
		TokensPerSecond:   f.Limits.TokensPerSecond,
		TokenBurst:        f.Limits.TokenBurst,
		Concurrency:       f.Limits.Concurrency,
		MaxPromptTokens:   f.Limits.MaxPromptTokens,
		MaxOutputTokens:   f.Limits.MaxOutputTokens,
		Priority:          f.Priority,
		Share:             1,
	}
	if f.Share != nil {
		c.Share = *f.Share
	}
	for _, k := range f.Keys {
		c.KeyHashes = append(c.KeyHashes, k.hash)
	}
	for _, b := range f.Deadlines {
		c.Deadlines = append(c.Deadlines, &wire.DeadlineBand{
			UpToTokens:    b.UpToTokens,
			FirstTokenMs:  milliseconds(b.FirstToken),
			WholeAnswerMs: milliseconds(b.WholeAnswer),
		})
	}
	return c
}

// milliseconds converts a duration. It maps durations that are out of range to
// values that Check refuses.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), maxDeadlineMs+1))
}
