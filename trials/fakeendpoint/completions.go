package fakeendpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/prompt"
	"github.com/apricotspoke/apricotspoke/trials/completions"
	"github.com/go-chi/chi/v5"
)

const (
	headerAttempt = "X-Attempt-Id"
	headerBoot    = "X-Boot-Id"
	headerNotRun  = "X-Not-Run"
)

func (e *Endpoint) serveCompletions(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	request, err := completions.Parse(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	a, err := e.newAttempt(r, request)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if a.memoryTokens > e.config.MemoryTokens {
		refuse(w, http.StatusInsufficientStorage, errors.New("the prompt and its output exceed the memory of the endpoint"))
		return
	}
	switch err := e.admit(a); {
	case errors.Is(err, errDuplicate):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		panic(http.ErrAbortHandler) // over a limit: the endpoint restarts, which breaks the connection
	}
	w.Header().Set(headerBoot, a.bootID)
	if request.Stream {
		e.serveStream(w, r, a, 1)
		return
	}
	e.serveWhole(w, r, a)
}

func (e *Endpoint) newAttempt(r *http.Request, request completions.Request) (*attempt, error) {
	id := r.Header.Get(headerAttempt)
	if id == "" {
		return nil, errors.New("the header " + headerAttempt + " is missing")
	}
	e.mu.Lock()
	known := slices.Contains(e.models, request.Model)
	e.mu.Unlock()
	if !known {
		return nil, fmt.Errorf("the model %q is not loaded", request.Model)
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	text := request.PromptText()
	imported, err := e.readImports(r, parseImports(r.Header.Get("X-Kv-Import")), text)
	if err != nil {
		return nil, err
	}
	tokens := prompt.EstimateTokens(len(text))
	computed := tokens - min(tokens, imported)
	return &attempt{
		id:                id,
		priority:          priority,
		chat:              strings.HasSuffix(r.URL.Path, "/chat/completions"),
		model:             request.Model,
		promptTokens:      tokens,
		memoryTokens:      computed + uint64(request.OutputTokens()),
		prefixBlocks:      prompt.BlockHashes(text),
		prefillTokensLeft: float64(computed),
		text:              completions.Text(text, request.OutputTokens()),
		outputTokens:      request.OutputTokens(),
		changed:           make(chan struct{}),
	}, nil
}

// serveStream sends the events of an attempt, from the event ID given, until it ends.
func (e *Endpoint) serveStream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerBoot, a.bootID)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	sent := from - 1
	for {
		produced, done, err := e.awaitTokens(r.Context(), a, sent)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for ; sent < produced; sent++ {
			writeEvent(w, sent+1, a.streamEvent(a.token(sent), nil))
		}
		if done {
			e.writeStreamEnd(w, a, sent)
			_ = flusher.Flush()
			return
		}
		_ = flusher.Flush()
	}
}

// writeStreamEnd writes the event with the finish reason, if all tokens were sent, and
// [DONE].
func (e *Endpoint) writeStreamEnd(w io.Writer, a *attempt, sent int) {
	if sent == a.outputTokens {
		stop := "stop"
		writeEvent(w, sent+1, a.streamEvent("", &stop))
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w io.Writer, id int, event completion) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func (e *Endpoint) serveWhole(w http.ResponseWriter, r *http.Request, a *attempt) {
	for {
		produced, done, err := e.awaitTokens(r.Context(), a, a.outputTokens)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if done && produced == a.outputTokens {
			writeJSON(w, http.StatusOK, a.fullCompletion())
			return
		}
	}
}

func (e *Endpoint) serveAttempts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := attemptList{BootID: e.bootID, Attempts: []string{}}
	for _, a := range e.byPriority() {
		list.Attempts = append(list.Attempts, a.id)
	}
	list.Blocks = slices.Sorted(maps.Keys(e.kvBlocks))
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (e *Endpoint) serveResume(w http.ResponseWriter, r *http.Request) {
	a := e.find(chi.URLParam(r, "id"))
	if a == nil || a.endsByHandler {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	e.serveStream(w, r, a, max(1, queryInt(r, "from")))
}

func (e *Endpoint) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.cancel(chi.URLParam(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}

type attemptList struct {
	BootID   string   `json:"boot_id"`
	Attempts []string `json:"attempts"`
	Blocks   []string `json:"blocks"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int                  `json:"index"`
	Text         *string              `json:"text,omitempty"`
	Delta        *completions.Message `json:"delta,omitempty"`
	Message      *completions.Message `json:"message,omitempty"`
	FinishReason *string              `json:"finish_reason"`
}

type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

// completionID depends on the generated text alone, so that equal requests get equal
// bytes.
func (a *attempt) completionID() string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, a.text)
	return fmt.Sprintf("cmpl-%016x", h.Sum64())
}

func (a *attempt) streamEvent(text string, finish *string) completion {
	c := completion{ID: a.completionID(), Model: a.model}
	if a.chat {
		c.Object = "chat.completion.chunk"
		c.Choices = []choice{{Delta: &completions.Message{Role: "assistant", Content: text}, FinishReason: finish}}
		return c
	}
	c.Object = "text_completion"
	c.Choices = []choice{{Text: &text, FinishReason: finish}}
	return c
}

func (a *attempt) fullCompletion() completion {
	stop := "stop"
	c := completion{ID: a.completionID(), Model: a.model, Usage: &usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: a.outputTokens,
		TotalTokens:      a.promptTokens + uint64(a.outputTokens),
	}}
	if a.chat {
		c.Object = "chat.completion"
		c.Choices = []choice{{Message: &completions.Message{Role: "assistant", Content: a.text}, FinishReason: &stop}}
		return c
	}
	c.Object = "text_completion"
	c.Choices = []choice{{Text: &a.text, FinishReason: &stop}}
	return c
}
