package callerhttp

import (
	"bytes"
	"encoding/json"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/prompt"
)

// headBytes is as much of a prompt as its prefix blocks cover.
const headBytes = prompt.MaxBlocks * prompt.BlockTokens * 4

// completion is what the entry reads of a request to a model.
type completion struct {
	Model         string     `json:"model"`
	Stream        bool       `json:"stream"`
	MaxTokens     *int64     `json:"max_tokens"`
	MaxCompletion *int64     `json:"max_completion_tokens"`
	Prompt        *text      `json:"prompt"`
	Messages      *[]message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content text   `json:"content"`
}

// text measures a prompt and keeps only its head.
type text struct {
	bytes int
	head  string
}

func (t *text) add(part string) {
	t.bytes += len(part)
	if room := headBytes - len(t.head); room > 0 {
		t.head += part[:min(room, len(part))]
	}
}

// UnmarshalJSON takes a string, or a list of strings, token numbers or parts
// with a text.
func (t *text) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		var whole string
		if err := json.Unmarshal(data, &whole); err != nil {
			return err
		}
		t.add(whole)
		return nil
	}
	var parts []part
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		t.add(p.text)
		t.bytes += p.tokens * bytesPerToken
	}
	return nil
}

const bytesPerToken = 4

type part struct {
	text   string
	tokens int
}

// UnmarshalJSON takes one element of a list.
func (p *part) UnmarshalJSON(data []byte) error {
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

// parsed is a checked completion request.
type parsed struct {
	model     string
	stream    bool
	tokens    uint64
	output    uint32 // 0 when the caller sets none
	prefix    []uint64
	chatStyle bool
}

func parseCompletion(body []byte, chat bool) (*parsed, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fault.New(fault.InvalidRequest, "the body is not a completion request: %s", err)
	}
	if c.Model == "" {
		return nil, fault.New(fault.InvalidRequest, "the body names no model")
	}
	prompted, err := c.text(chat)
	if err != nil {
		return nil, err
	}
	output, err := c.output()
	if err != nil {
		return nil, err
	}
	return &parsed{
		model:     c.Model,
		stream:    c.Stream,
		tokens:    prompt.EstimateTokens(prompted.bytes),
		output:    output,
		prefix:    prompt.BlockHashes(prompted.head),
		chatStyle: chat,
	}, nil
}

func (c *completion) text(chat bool) (text, error) {
	if !chat {
		if c.Prompt == nil {
			return text{}, fault.New(fault.InvalidRequest, "the body has no prompt")
		}
		return *c.Prompt, nil
	}
	if c.Messages == nil || len(*c.Messages) == 0 {
		return text{}, fault.New(fault.InvalidRequest, "the body has no messages")
	}
	var all text
	for _, m := range *c.Messages {
		all.add(m.Content.head)
		all.bytes += m.Content.bytes - len(m.Content.head)
	}
	return all, nil
}

func (c *completion) output() (uint32, error) {
	most := c.MaxTokens
	if most == nil {
		most = c.MaxCompletion
	}
	if most == nil {
		return 0, nil
	}
	if *most < 1 || *most > 1<<30 {
		return 0, fault.New(fault.InvalidRequest, "max_tokens is out of range")
	}
	return uint32(*most), nil
}
