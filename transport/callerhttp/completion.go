package callerhttp

import (
	"bytes"
	"encoding/json"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// maxPrefixBytes is the length of the start of a prompt that its prefix blocks cover, at the
// 4 bytes per token that package prompt assumes.
const maxPrefixBytes = prompt.MaxBlocks * prompt.BlockTokens * 4

// completionBody holds the fields of a request to a model that the entry reads.
type completionBody struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	Prompt              *measuredText `json:"prompt"`
	Messages            *[]message    `json:"messages"`
}

type message struct {
	Role    string       `json:"role"`
	Content measuredText `json:"content"`
}

// measuredText counts the bytes of a prompt and keeps only its start, of at most
// maxPrefixBytes. The prompt itself is sent on in the unparsed body.
type measuredText struct {
	bytes  int
	prefix string
}

func (t *measuredText) add(part string) {
	t.bytes += len(part)
	if room := maxPrefixBytes - len(t.prefix); room > 0 {
		t.prefix += part[:min(room, len(part))]
	}
}

// UnmarshalJSON accepts a string, or a list whose elements are strings, token IDs or
// objects with a text.
func (t *measuredText) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		var whole string
		if err := json.Unmarshal(data, &whole); err != nil {
			return err
		}
		t.add(whole)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		t.add(p.text)
		t.bytes += p.tokens * bytesPerToken
	}
	return nil
}

// bytesPerToken is the length that a token ID counts with, as in package prompt.
const bytesPerToken = 4

// contentPart is one element of a list: a text or a single token.
type contentPart struct {
	text   string
	tokens int
}

// UnmarshalJSON accepts a string, an object with a text, or a token ID.
func (p *contentPart) UnmarshalJSON(data []byte) error {
	switch data[0] {
	case '"':
		return json.Unmarshal(data, &p.text)
	case '{':
		var object struct {
			Text string `json:"text"`
		}
		err := json.Unmarshal(data, &object)
		p.text = object.Text
		return err
	}
	p.tokens = 1
	var token int64
	return json.Unmarshal(data, &token)
}

// parsedCompletion is a valid completion request.
type parsedCompletion struct {
	model           string
	stream          bool
	promptTokens    uint64
	maxOutputTokens uint32 // 0 when the caller sets no limit
	prefixBlocks    []uint64
	chat            bool
}

func parseCompletion(body []byte, chat bool) (*parsedCompletion, error) {
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fault.New(fault.InvalidRequest, "the body is not a completion request: %s", err)
	}
	if c.Model == "" {
		return nil, fault.New(fault.InvalidRequest, "the body has no model")
	}
	prompted, err := c.promptText(chat)
	if err != nil {
		return nil, err
	}
	output, err := c.maxOutputTokens()
	if err != nil {
		return nil, err
	}
	return &parsedCompletion{
		model:           c.Model,
		stream:          c.Stream,
		promptTokens:    prompt.EstimateTokens(prompted.bytes),
		maxOutputTokens: output,
		prefixBlocks:    prompt.BlockHashes(prompted.prefix),
		chat:            chat,
	}, nil
}

// promptText returns the prompt, or the contents of all messages joined.
func (c *completionBody) promptText(chat bool) (measuredText, error) {
	if !chat {
		if c.Prompt == nil {
			return measuredText{}, fault.New(fault.InvalidRequest, "the body has no prompt")
		}
		return *c.Prompt, nil
	}
	if c.Messages == nil || len(*c.Messages) == 0 {
		return measuredText{}, fault.New(fault.InvalidRequest, "the body has no messages")
	}
	var all measuredText
	for _, m := range *c.Messages {
		all.add(m.Content.prefix)
		all.bytes += m.Content.bytes - len(m.Content.prefix)
	}
	return all, nil
}

// maxOutputTokens returns the caller's limit for the answer, 0 for none. max_tokens takes
// precedence over max_completion_tokens.
func (c *completionBody) maxOutputTokens() (uint32, error) {
	limit := c.MaxTokens
	if limit == nil {
		limit = c.MaxCompletionTokens
	}
	if limit == nil {
		return 0, nil
	}
	if *limit < 1 || *limit > 1<<30 {
		return 0, fault.New(fault.InvalidRequest, "max_tokens or max_completion_tokens is not between 1 and 1073741824")
	}
	return uint32(*limit), nil
}
