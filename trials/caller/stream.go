package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/completions"
)

const maxLineBytes = 1 << 20 // of a stream; a longer line ends the reading with an error

// completion is the part of a completion, or of an event of a streamed one, that is read.
type completion struct {
	Choices []choice `json:"choices"`
	Error   apiError `json:"error"`
}

type choice struct {
	Text    string              `json:"text"`
	Delta   completions.Message `json:"delta"`
	Message completions.Message `json:"message"`
}

type apiError struct {
	Message string `json:"message"`
}

func (c completion) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	first := c.Choices[0]
	return first.Text + first.Delta.Content + first.Message.Content
}

// readStream reads server-sent events up to the final [DONE].
func (r *Result) readStream(body io.Reader, started time.Time, onText func()) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = r.Failure == ""
			break
		}
		before := text.Len()
		r.readEvent(data, &text, started)
		if onText != nil && text.Len() > before {
			onText()
		}
	}
	r.Text = text.String()
	if err := scanner.Err(); err != nil {
		r.Failure = err.Error()
	} else if !r.Complete && r.Failure == "" {
		r.Failure = "the stream ended before data: [DONE]"
	}
}

func (r *Result) readEvent(data string, text *strings.Builder, started time.Time) {
	var event completion
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		r.Failure = "cannot decode a stream event: " + err.Error()
		return
	}
	if event.Error.Message != "" {
		r.Failure = event.Error.Message
	}
	part := event.text()
	if part != "" && r.FirstToken == 0 {
		r.FirstToken = time.Since(started)
	}
	text.WriteString(part)
}
