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
	maxNameBytes            = 128
	maxKeys                 = 64
	maxPromptOrOutputTokens = 4_000_000 // bounds each of max_prompt_tokens and max_output_tokens
	maxDeadlineMs           = 24 * 60 * 60 * 1000
	minBurstSeconds         = 0.25 // a burst must hold the rate for this time; with less, the entries that share it can't use the full rate
	maxRate                 = 1e12
	maxConcurrency          = 1_000_000
	maxDeadlineBands        = 64
	minRequestBurst         = 1 // requests; a smaller burst never admits one
	maxAbsolutePriority     = 1000
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
	var p problemList
	p.checkName("organisation", c.GetOrganisation())
	p.checkKeys(c.GetKeyHashes())
	p.checkNames("models", c.GetModels())
	p.checkNames("services", c.GetServices())
	p.add(len(c.GetModels())+len(c.GetServices()) == 0, "models, services: at least one must be named")
	p.checkLimits(c)
	p.add(c.GetPriority() > maxAbsolutePriority || c.GetPriority() < -maxAbsolutePriority,
		"priority: %d is outside -%d to %d", c.GetPriority(), maxAbsolutePriority, maxAbsolutePriority)
	p.checkBands(c)
	if len(p) == 0 {
		return nil
	}
	return invalid(p)
}

// problemList collects the problems of one contract. Its check methods append one
// problem for each broken rule.
type problemList []string

// add appends a problem if wrong is true.
func (p *problemList) add(wrong bool, format string, args ...any) {
	if wrong {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// checkName checks one name.
func (p *problemList) checkName(field, value string) {
	if text := nameProblem(field, value); text != "" {
		*p = append(*p, text)
	}
}

// checkNames checks each name of a list, and that none is repeated.
func (p *problemList) checkNames(field string, values []string) {
	seen := make(map[string]bool)
	for _, value := range values {
		p.checkName(field, value)
		p.add(seen[value], "%s: %q is named twice", field, value)
		seen[value] = true
	}
}

func (p *problemList) checkKeys(hashes [][]byte) {
	p.add(len(hashes) == 0, "keys: at least one is needed")
	p.add(len(hashes) > maxKeys, "keys: %d are given, at most %d are allowed", len(hashes), maxKeys)
	seen := make(map[string]bool)
	for i, hash := range hashes {
		p.add(len(hash) != sha256.Size, "keys: number %d is no SHA-256 hash of %d bytes", i+1, sha256.Size)
		p.add(seen[string(hash)], "keys: number %d is given twice", i+1)
		seen[string(hash)] = true
	}
}

func (p *problemList) checkLimits(c *wire.Contract) {
	p.checkRate("requests_per_second", c.GetRequestsPerSecond(), "request_burst", c.GetRequestBurst(), minRequestBurst)
	if len(c.GetModels()) > 0 {
		// The minimum of 1 token is never decisive: checkTokens requires a larger burst.
		p.checkRate("tokens_per_second", c.GetTokensPerSecond(), "token_burst", c.GetTokenBurst(), 1)
		p.checkTokens(c)
	}
	p.add(c.GetConcurrency() < 1 || c.GetConcurrency() > maxConcurrency,
		"concurrency: %d is outside 1 to %d", c.GetConcurrency(), maxConcurrency)
	p.add(!(c.GetShare() > 0 && c.GetShare() <= 1e6), "share: %v must be above 0 and at most 1e6", c.GetShare())
}

// checkTokens checks the token limits of one request, and that the burst admits the
// longest request.
func (p *problemList) checkTokens(c *wire.Contract) {
	p.add(c.GetMaxPromptTokens() < 1 || c.GetMaxPromptTokens() > maxPromptOrOutputTokens,
		"max_prompt_tokens: %d is outside 1 to %d", c.GetMaxPromptTokens(), maxPromptOrOutputTokens)
	p.add(c.GetMaxOutputTokens() < 1 || c.GetMaxOutputTokens() > maxPromptOrOutputTokens,
		"max_output_tokens: %d is outside 1 to %d", c.GetMaxOutputTokens(), maxPromptOrOutputTokens)
	longest := float64(c.GetMaxPromptTokens()) + float64(c.GetMaxOutputTokens())
	p.add(c.GetTokenBurst() < longest,
		"token_burst: %v can never admit max_prompt_tokens + max_output_tokens = %v; raise it or lower them", c.GetTokenBurst(), longest)
}

// checkRate checks a rate and its burst. minBurst is in the unit of the burst.
func (p *problemList) checkRate(rateField string, rate float64, burstField string, burst, minBurst float64) {
	p.add(!(rate > 0 && rate <= maxRate), "%s: %v must be above 0 and at most %v", rateField, rate, maxRate)
	p.add(math.IsNaN(burst) || burst < minBurst || burst > maxRate, "%s: %v is outside %v to %v", burstField, burst, minBurst, maxRate)
	p.add(burst < rate*minBurstSeconds, "%s: %v must be at least a quarter of %s (%v)", burstField, burst, rateField, rate)
}

// checkBands checks that the bands are in ascending order, reach max_prompt_tokens and
// have valid deadlines.
func (p *problemList) checkBands(c *wire.Contract) {
	bands := c.GetDeadlines()
	if len(c.GetModels()) > 0 {
		p.add(len(bands) == 0, "deadlines: at least one band is needed")
	}
	p.add(len(bands) > maxDeadlineBands, "deadlines: %d bands are given, at most %d are allowed", len(bands), maxDeadlineBands)
	last := uint32(0)
	for i, band := range bands {
		p.add(band.GetUpToTokens() <= last, "deadlines: band %d must have up_to_tokens above %d", i+1, last)
		p.add(band.GetFirstTokenMs() < 1, "deadlines: band %d needs first_token of at least 1ms", i+1)
		p.add(band.GetWholeAnswerMs() < band.GetFirstTokenMs(), "deadlines: band %d has whole_answer below first_token", i+1)
		p.add(band.GetWholeAnswerMs() > maxDeadlineMs, "deadlines: band %d has whole_answer above 24h", i+1)
		last = band.GetUpToTokens()
	}
	p.add(len(bands) > 0 && last < c.GetMaxPromptTokens(),
		"deadlines: the last band ends at %d tokens, below max_prompt_tokens %d", last, c.GetMaxPromptTokens())
}
