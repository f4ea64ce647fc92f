// Package caller sends requests to entries, the HTTP servers that organisations'
// programs call, and reports whether each response is complete.
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
	maxResponseBytes = 64 << 20 // of a response that is not a stream; a longer one is cut without an error
	eventStreamType  = "text/event-stream"
)

// Client sends requests and never retries one by itself.
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

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one HTTP request to an entry.
type Request struct {
	Entry          string // address
	Method         string
	Path           string
	Key            string
	IdempotencyKey string
	Deadline       time.Duration // sent as X-Deadline-Ms; 0 leaves it to the contract
	Body           []byte
	OnText         func() // called after each stream event with text; may be nil
}

// Result is the response to a request, or why there is none.
type Result struct {
	Status     int // 0 if no response came
	Header     http.Header
	Body       []byte        // of a response that is not a stream
	Text       string        // the generated text
	Complete   bool          // the response was read to its end, or to maxResponseBytes, without an error
	FirstToken time.Duration // from the send to the first text, or to the end of a response that is not a stream; 0 without text
	Total      time.Duration
	Failure    string // error event of a stream, or why no complete response came
}

// Endpoint returns the name of the endpoint that served the request.
func (r Result) Endpoint() string { return r.Header.Get("X-Endpoint") }

// NotRun reports whether the response says that the request was not run.
func (r Result) NotRun() bool { return r.Header.Get("X-Not-Run") == "true" }

// SendingNotRun reports whether the response says only that this send of the request
// was not run: an earlier one with the same idempotency key may have run.
func (r Result) SendingNotRun() bool { return r.Header.Get("X-Not-Run") == "this-sending" }

// RetryAfter returns the Retry-After header in seconds, or "" if there is none.
func (r Result) RetryAfter() string { return r.Header.Get("Retry-After") }

// OK reports whether a complete response with a 2xx status came.
func (r Result) OK() bool { return r.Complete && r.Status/100 == 2 }

// Completion builds the HTTP request for a completion, or for a chat completion if the
// request has messages.
func Completion(entry, key string, request completions.Request) Request {
	path := "/v1/completions"
	if len(request.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	body, err := json.Marshal(request)
	if err != nil {
		panic(err) // can't happen: the request has only strings, numbers and a bool
	}
	return Request{Entry: entry, Method: http.MethodPost, Path: path, Key: key, Body: body}
}

// Send sends a request and reads the response to its end, or until ctx ends.
func (c *Client) Send(ctx context.Context, request Request) Result {
	started := time.Now()
	result := c.send(ctx, request, started)
	result.Total = time.Since(started)
	return result
}

func (c *Client) send(ctx context.Context, request Request, started time.Time) Result {
	result := Result{Header: http.Header{}}
	call, err := newHTTPRequest(ctx, request)
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
	if response.Header.Get("Content-Type") == eventStreamType {
		result.readStream(response.Body, started, request.OnText)
		return result
	}
	result.readBody(response.Body, started)
	return result
}

func newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	url := "http://" + request.Entry + request.Path
	call, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	call.GetBody = nil // net/http then cannot send a body again of which it has read a part
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

// readBody reads a response that is not a stream, and takes the generated text from it if it
// is a completion.
func (r *Result) readBody(body io.Reader, started time.Time) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
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
