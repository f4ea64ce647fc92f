// Package answer gives the text that the stand-in endpoint generates for a
// prompt, so that a caller can check an answer byte for byte.
package completions

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
)

const (
	// BytesPerToken is the length of each generated token.
	BytesPerToken = 4
	// DefaultOutputTokens is generated when the request names no maximum.
	DefaultOutputTokens = 16

	letters = "abcdefghijklmnopqrstuvwxyz"
)

// Request is the part of a completion request that the stand-in reads.
type Request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Parse reads a request body.
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

// PromptText is the prompt, or the contents of the chat's messages, one a line.
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

// OutputTokens is the number of tokens that the stand-in generates.
func (r Request) OutputTokens() int {
	if r.MaxTokens == 0 {
		return DefaultOutputTokens
	}
	return r.MaxTokens
}

// Text returns the generated text for a prompt: tokens times TokenBytes bytes.
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
