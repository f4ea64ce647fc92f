// Package contract validates contracts and parses contract files. A contract is what
// one organisation may use: its keys, models, services, limits and deadlines.
package contract

import (
	"crypto/sha256"
	"math"
	"regexp"
	"strings"

	"fmt"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	maxNameBytes        = 128
	maxKeys             = 64
	maxPromptTokens     = 4_000_000
	maxDeadlineMs       = 24 * 60 * 60 * 1000
	minBurstSeconds     = 0.25 // at the rate; a smaller burst can't be shared among the entries at the full rate
	maxRate             = 1e12
	maxConcurrency      = 1_000_000
	maxDeadlineBands    = 64
	minRequestBurst     = 1
	maxAbsolutePriority = 1000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

// CheckName returns an InvalidRequest error unless value is a valid name in the
// configuration: letters, digits and "._:/-", starting with a letter or digit, at
// most 128 bytes. kind says what is named. The message is stored in the replicated
// state, so it must be equal in all builds that may run in one control group.
func CheckName(kind, value string) error {
	if problem := nameProblem(kind, value); problem != "" {
		return invalid([]string{problem})
	}
	return nil
}

func nameProblem(kind, value string) string {
	switch {
	case value == "":
		return kind + ": a name is missing"
	case len(value) > maxNameBytes:
		return fmt.Sprintf("%s: the name has %d bytes, at most %d are allowed", kind, len(value), maxNameBytes)
	case !namePattern.MatchString(value):
		return fmt.Sprintf("%s: %q may hold letters, digits and ._:/- only, and starts with a letter or digit", kind, value)
	}
	return ""
}

func invalid(problems []string) error {
	return fault.New(fault.InvalidRequest, "%s", strings.Join(problems, "; "))
}

// Check returns nil for a valid contract, and otherwise one InvalidRequest error
// with all problems. Its messages are stored in the replicated state, as those of
// CheckName are.
func Check(c *wire.Contract) error {
	var f problemList
	f.name("organisation", c.GetOrganisation())
	f.keys(c.GetKeyHashes())
	f.names("models", c.GetModels())
	f.names("services", c.GetServices())
	f.add(len(c.GetModels())+len(c.GetServices()) == 0, "models, services: at least one must be named")
	f.limits(c)
	f.add(c.GetPriority() > maxAbsolutePriority || c.GetPriority() < -maxAbsolutePriority,
		"priority: %d is outside -%d to %d", c.GetPriority(), maxAbsolutePriority, maxAbsolutePriority)
	f.bands(c)
	if len(f) == 0 {
		return nil
	}
	return invalid(f)
}

type problemList []string

func (f *problemList) add(wrong bool, format string, args ...any) {
	if wrong {
		*f = append(*f, fmt.Sprintf(format, args...))
	}
}

func (f *problemList) name(field, value string) {
	if text := nameProblem(field, value); text != "" {
		*f = append(*f, text)
	}
}

func (f *problemList) names(field string, values []string) {
	seen := make(map[string]bool)
	for _, value := range values {
		f.name(field, value)
		f.add(seen[value], "%s: %q is named twice", field, value)
		seen[value] = true
	}
}

func (f *problemList) keys(hashes [][]byte) {
	f.add(len(hashes) == 0, "keys: at least one is needed")
	f.add(len(hashes) > maxKeys, "keys: %d are given, at most %d are allowed", len(hashes), maxKeys)
	seen := make(map[string]bool)
	for i, hash := range hashes {
		f.add(len(hash) != sha256.Size, "keys: number %d is no SHA-256 hash of %d bytes", i+1, sha256.Size)
		f.add(seen[string(hash)], "keys: number %d is given twice", i+1)
		seen[string(hash)] = true
	}
}

func (f *problemList) limits(c *wire.Contract) {
	f.rate("requests_per_second", c.GetRequestsPerSecond(), "request_burst", c.GetRequestBurst(), minRequestBurst)
	if len(c.GetModels()) > 0 {
		f.rate("tokens_per_second", c.GetTokensPerSecond(), "token_burst", c.GetTokenBurst(), 1)
		f.tokens(c)
	}
	f.add(c.GetConcurrency() < 1 || c.GetConcurrency() > maxConcurrency,
		"concurrency: %d is outside 1 to %d", c.GetConcurrency(), maxConcurrency)
	f.add(!(c.GetShare() > 0 && c.GetShare() <= 1e6), "share: %v must be above 0 and at most 1e6", c.GetShare())
}

func (f *problemList) tokens(c *wire.Contract) {
	f.add(c.GetMaxPromptTokens() < 1 || c.GetMaxPromptTokens() > maxPromptTokens,
		"max_prompt_tokens: %d is outside 1 to %d", c.GetMaxPromptTokens(), maxPromptTokens)
	f.add(c.GetMaxOutputTokens() < 1 || c.GetMaxOutputTokens() > maxPromptTokens,
		"max_output_tokens: %d is outside 1 to %d", c.GetMaxOutputTokens(), maxPromptTokens)
	longest := float64(c.GetMaxPromptTokens()) + float64(c.GetMaxOutputTokens())
	f.add(c.GetTokenBurst() < longest,
		"token_burst: %v can never admit max_prompt_tokens + max_output_tokens = %v; raise it or lower them", c.GetTokenBurst(), longest)
}

func (f *problemList) rate(rateField string, rate float64, burstField string, burst, minBurst float64) {
	f.add(!(rate > 0 && rate <= maxRate), "%s: %v must be above 0 and at most %v", rateField, rate, maxRate)
	f.add(math.IsNaN(burst) || burst < minBurst || burst > maxRate, "%s: %v is outside %v to %v", burstField, burst, minBurst, maxRate)
	f.add(burst < rate*minBurstSeconds, "%s: %v must be at least a quarter of %s (%v)", burstField, burst, rateField, rate)
}

func (f *problemList) bands(c *wire.Contract) {
	bands := c.GetDeadlines()
	if len(c.GetModels()) > 0 {
		f.add(len(bands) == 0, "deadlines: at least one band is needed")
	}
	f.add(len(bands) > maxDeadlineBands, "deadlines: %d bands are given, at most %d are allowed", len(bands), maxDeadlineBands)
	last := uint32(0)
	for i, band := range bands {
		f.add(band.GetUpToTokens() <= last, "deadlines: band %d must have up_to_tokens above %d", i+1, last)
		f.add(band.GetFirstTokenMs() < 1, "deadlines: band %d needs first_token of at least 1ms", i+1)
		f.add(band.GetWholeAnswerMs() < band.GetFirstTokenMs(), "deadlines: band %d has whole_answer below first_token", i+1)
		f.add(band.GetWholeAnswerMs() > maxDeadlineMs, "deadlines: band %d has whole_answer above 24h", i+1)
		last = band.GetUpToTokens()
	}
	f.add(len(bands) > 0 && last < c.GetMaxPromptTokens(),
		"deadlines: the last band ends at %d tokens, below max_prompt_tokens %d", last, c.GetMaxPromptTokens())
}
