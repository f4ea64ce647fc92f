// Package completions has the completion requests that the fake endpoint accepts and
// the text that it generates for a prompt, so that a caller can check an answer byte
// for byte.
package completions

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
)

const (
	// BytesPerToken is the length of each generated token in bytes.
	BytesPerToken = 4
	// DefaultOutputTokens is the number of tokens generated if the request has no max_tokens.
	DefaultOutputTokens = 16

	letters = "abcdefghijklmnopqrstuvwxyz"
)

// Request is the part of a completion request that the fake endpoint reads.
type Request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Parse decodes a request body.
func Parse(body []byte) (Request, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return request, err
	}
	if request.MaxTokens < 0 {
		return request, errors.New("max_tokens is negative")
	}
	return request, nil
}

// PromptText returns the prompt, or the contents of the chat messages, one per line.
func (r Request) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	contents := make([]string, len(r.Messages))
	for i, message := range r.Messages {
		contents[i] = message.Content
	}
	return strings.Join(contents, "\n")
}

// OutputTokens returns the number of tokens that the fake endpoint generates.
func (r Request) OutputTokens() int {
	if r.MaxTokens == 0 {
		return DefaultOutputTokens
	}
	return r.MaxTokens
}

// Text returns the text generated for a prompt, tokens times BytesPerToken bytes. It
// depends on the prompt and the number of tokens alone.
func Text(prompt string, tokens int) string {
	source := rand.NewChaCha8(sha256.Sum256([]byte(prompt)))
	random := rand.New(source)
	var text strings.Builder
	text.Grow(tokens * BytesPerToken)
	for range tokens {
		for range BytesPerToken - 1 {
			text.WriteByte(letters[random.IntN(len(letters))])
		}
		text.WriteByte(' ')
	}
	return text.String()
}
