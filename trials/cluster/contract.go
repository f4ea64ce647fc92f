package cluster

import (
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	contractFileVersion = 1
	maxPromptTokens     = 1_100_000 // more than the longest prompt of the workloads
	maxOutputTokens     = 60_000    // more than the workloads ask for
	unreachedLimit      = 1e8       // a limit that no test reaches
)

// Contract is the contract file of an organisation: its keys, limits and deadlines.
type Contract struct {
	Version      int            `yaml:"version"`
	Organisation string         `yaml:"organisation"`
	Keys         []string       `yaml:"keys"`
	Models       []string       `yaml:"models"`
	Services     []string       `yaml:"services"`
	Limits       Limits         `yaml:"limits"`
	Priority     int            `yaml:"priority"`
	Share        float64        `yaml:"share"`
	Deadlines    []DeadlineBand `yaml:"deadlines"`
}

// Limits are the limits of a contract.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	RequestBurst      float64 `yaml:"request_burst"`
	TokensPerSecond   float64 `yaml:"tokens_per_second"`
	TokenBurst        float64 `yaml:"token_burst"`
	Concurrency       int     `yaml:"concurrency"`
	MaxPromptTokens   int     `yaml:"max_prompt_tokens"`
	MaxOutputTokens   int     `yaml:"max_output_tokens"`
}

// DeadlineBand has the deadlines of prompts up to a length.
type DeadlineBand struct {
	UpToTokens  int           `yaml:"up_to_tokens"`
	FirstToken  time.Duration `yaml:"first_token"`
	WholeAnswer time.Duration `yaml:"whole_answer"`
}

// AmpleContract returns a contract whose rate limits no test reaches. It allows the model m1
// and the service booking.
func AmpleContract(organisation, key string) Contract {
	return Contract{
		Version:      contractFileVersion,
		Organisation: organisation,
		Keys:         []string{"sha256:" + KeyHash(key)},
		Models:       []string{"m1"},
		Services:     []string{"booking"},
		Limits: Limits{
			RequestsPerSecond: 10_000,
			RequestBurst:      10_000,
			TokensPerSecond:   unreachedLimit,
			TokenBurst:        unreachedLimit,
			Concurrency:       1000,
			MaxPromptTokens:   maxPromptTokens,
			MaxOutputTokens:   maxOutputTokens,
		},
		Share: 1,
		Deadlines: []DeadlineBand{
			{UpToTokens: 10_000, FirstToken: 20 * time.Second, WholeAnswer: 60 * time.Second},
			{UpToTokens: maxPromptTokens, FirstToken: 60 * time.Second, WholeAnswer: 120 * time.Second},
		},
	}
}

func (c Contract) marshal() ([]byte, error) { return yaml.Marshal(c) }
