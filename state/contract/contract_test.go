package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

const validFile = `version: 1
organisation: kartuli
keys:
  - key: secret
  - "key: other secret"
  - sha256:HASH
models: [proofs]
services: [orders]
limits:
  requests_per_second: 5
  request_burst: 10
  tokens_per_second: 50000
  token_burst: 1200000
  concurrency: 8
  max_prompt_tokens: 1000000
  max_output_tokens: 4096
priority: 3
share: 2.5
deadlines:
  - {up_to_tokens: 4000, first_token: 580ms, whole_answer: 30s}
  - {up_to_tokens: 1000000, first_token: 1m, whole_answer: 10m}
`

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestParse(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(validFile, "HASH", hashOf("third"), 1)))
	if err != nil {
		t.Fatal(err)
	}
	for i, key := range []string{"secret", "other secret", "third"} {
		if hex.EncodeToString(c.KeyHashes[i]) != hashOf(key) {
			t.Errorf("key %d is hashed to %x", i, c.KeyHashes[i])
		}
	}
	if c.Deadlines[1].FirstTokenMs != 60_000 || c.Share != 2.5 || c.TokenBurst != 1_200_000 {
		t.Errorf("wrong values: %v", c)
	}
}

// All problems are reported at once, under their field names in the file, and no
// message contains a key.
func TestAllProblemsAreReported(t *testing.T) {
	good := strings.Replace(validFile, "HASH", hashOf("third"), 1)
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(good) }
	cases := map[string]struct {
		file string
		want []string
	}{
		"empty":        {"", []string{"empty"}},
		"version":      {replace("version: 1", "version: 2"), []string{"version: 2", "version: 1"}},
		"unknown":      {replace("concurrency: 8", "concurency: 8\n  burst: 3"), []string{"concurency", "burst"}},
		"forms":        {replace("580ms", "580", "priority: 3", "priority: high", "concurrency: 8", "concurrency: -1"), []string{"580", "high", "-1"}},
		"key":          {replace("key: secret", "plain secret", hashOf("third"), "12zz"), []string{"sha256:HEX or key:TEXT", "64 hexadecimal"}},
		"two":          {good + "---\n" + good, []string{"more than one document"}},
		"ranges":       {replace("requests_per_second: 5", "requests_per_second: 0", "concurrency: 8", "concurrency: 0", "share: 2.5", "share: -1", "kartuli", "a b"), []string{"requests_per_second", "concurrency", "share", "organisation"}},
		"not a number": {replace("tokens_per_second: 50000", "tokens_per_second: .nan", "request_burst: 10", "request_burst: .inf"), []string{"tokens_per_second", "request_burst"}},
		"combinations": {replace("token_burst: 1200000", "token_burst: 1000", "request_burst: 10", "request_burst: 1", "up_to_tokens: 1000000", "up_to_tokens: 3000", "whole_answer: 30s", "whole_answer: 500ms"), []string{"token_burst", "request_burst", "band 2", "below first_token", "last band"}},
	}
	for name, c := range cases {
		_, err := Parse([]byte(c.file))
		if fault.KindOf(err) != fault.InvalidRequest {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %q is not mentioned in %q", name, want, err)
			}
		}
		if strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the message contains a key: %q", name, err)
		}
	}
}

func TestExampleInDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONTRACT.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "```yaml\n")
	example, _, _ := strings.Cut(rest, "```")
	if _, err := Parse([]byte(example)); !found || err != nil {
		t.Fatal(err)
	}
}
