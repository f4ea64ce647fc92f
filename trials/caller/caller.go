// Package caller sends requests to entries as an organisation's program does,
// and checks that each answer is whole and its own.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/completions"
)

const (
	maxAnswerBytes = 64 << 20
	eventStream    = "text/event-stream"
)

// Client sends requests; it never sends one again by itself.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}}}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one call to an entry.
type Request struct {
	Entry          string // address
	Method         string
	Path           string
	Key            string
	IdempotencyKey string
	Deadline       time.Duration // X-Deadline-Ms; 0 leaves it to the contract
	Body           []byte
	OnText         func() // called after each event of a stream that holds text; may be nil
}

// Result is what came back.
type Result struct {
	Status     int // 0 when no answer came
	Header     http.Header
	Body       []byte        // of an answer that is not a stream
	Text       string        // the generated text
	Complete   bool          // the answer came to its proper end
	FirstToken time.Duration // since the send; 0 when no token came
	Total      time.Duration
	Failure    string // an error event in a stream, or why no answer came
}

// Endpoint is the name of the endpoint that served.
func (r Result) Endpoint() string { return r.Header.Get("X-Endpoint") }

// NotRun reports whether the answer says that nothing ran.
func (r Result) NotRun() bool { return r.Header.Get("X-Not-Run") == "true" }

// SendingNotRun reports whether the answer says so of this sending only: an
// earlier one under the same idempotency key may have run.
func (r Result) SendingNotRun() bool { return r.Header.Get("X-Not-Run") == "this-sending" }

// RetryAfter is the answer's Retry-After, in seconds; empty without one.
func (r Result) RetryAfter() string { return r.Header.Get("Retry-After") }

// OK reports whether a whole answer of success came.
func (r Result) OK() bool { return r.Complete && r.Status/100 == 2 }

// Completion builds the request for a completion.
func Completion(entry, key string, request completions.Request) Request {
	path := "/v1/completions"
	if len(request.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return Request{Entry: entry, Method: http.MethodPost, Path: path, Key: key, Body: body}
}

// Send sends a request and reads its answer to the end, or until ctx ends.
func (c *Client) Send(ctx context.Context, request Request) Result {
	started := time.Now()
	result := c.send(ctx, request, started)
	result.Total = time.Since(started)
	return result
}

func (c *Client) send(ctx context.Context, request Request, started time.Time) Result {
	result := Result{Header: http.Header{}}
	call, err := newCall(ctx, request)
	if err != nil {
		result.Failure = err.Error()
		return result
	}
	response, err := c.http.Do(call)
	if err != nil {
		result.Failure = err.Error()
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Header = response.Header
	if response.Header.Get("Content-Type") == eventStream {
		result.readStream(response.Body, started, request.OnText)
		return result
	}
	result.readWhole(response.Body, started)
	return result
}

func newCall(ctx context.Context, request Request) (*http.Request, error) {
	url := "http://" + request.Entry + request.Path
	call, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	call.GetBody = nil // so that the transport can't send it again
	call.Header.Set("Authorization", "Bearer "+request.Key)
	call.Header.Set("Content-Type", "application/json")
	if request.IdempotencyKey != "" {
		call.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	if request.Deadline > 0 {
		call.Header.Set("X-Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	}
	return call, nil
}

func (r *Result) readWhole(body io.Reader, started time.Time) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	r.Body = data
	if err != nil {
		r.Failure = err.Error()
		return
	}
	r.Complete = true
	var parsed completion
	if json.Unmarshal(data, &parsed) != nil {
		return
	}
	r.Text = parsed.text()
	if r.Text != "" {
		r.FirstToken = time.Since(started)
	}
}
