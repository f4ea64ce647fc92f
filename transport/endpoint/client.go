// Package endpoint reaches an endpoint over the HTTP protocol of
// docs/ENDPOINT.md and takes its announcements.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

const (
	dialTimeout   = 500 * time.Millisecond
	maxStateBytes = 8 << 20 // of a state answer
	idleConns     = 8
)

// Client is a gate's way to its endpoint. The address is set by announcements.
type Client struct {
	address  atomic.Pointer[string]
	attempts *http.Client // never reuses a connection, so that nothing is resent
	state    *http.Client
}

// NewClient returns a client without an address.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		attempts: newHTTP(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}),
		state:    newHTTP(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, DisableCompression: true}),
	}
}

func newHTTP(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// SetAddress sets the endpoint's host and port.
func (c *Client) SetAddress(address string) { c.address.Store(&address) }

func (c *Client) url(path string) (string, error) {
	address := c.address.Load()
	if address == nil {
		return "", fmt.Errorf("endpoint has not announced itself: %w", gate.ErrNotSent)
	}
	return "http://" + *address + path, nil
}

// onlyReader hides the other methods of a body, so that it cannot be rewound.
type onlyReader struct{ io.Reader }

// checkedReader asks whether the call may still go out before its first byte.
// It cannot be rewound either.
type checkedReader struct {
	ready  func() error
	reader io.Reader
}

func (c *checkedReader) Read(p []byte) (int, error) {
	if c.ready != nil {
		if err := c.ready(); err != nil {
			return 0, err
		}
		c.ready = nil
	}
	return c.reader.Read(p)
}

// Send sends an attempt once.
func (c *Client) Send(ctx context.Context, call *gate.Call) (*gate.Response, error) {
	target, err := c.url(call.Path)
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil && call.OnWritten != nil {
			call.OnWritten()
		}
	}}
	var body io.Reader
	if len(call.Body) > 0 {
		body = &checkedReader{ready: call.BeforeSend, reader: bytes.NewReader(call.Body)}
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, target, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", gate.ErrNotSent, err)
	}
	request.ContentLength = int64(len(call.Body))
	setHeaders(request.Header, call)
	return toAnswer(c.attempts.Do(request))
}

func setHeaders(h http.Header, call *gate.Call) {
	if call.ContentType != "" {
		h.Set("Content-Type", call.ContentType)
	}
	h.Set("X-Attempt-Id", call.Attempt)
	h.Set("X-Priority", strconv.FormatInt(call.Priority, 10))
	h.Set("X-Prompt-Tokens", strconv.FormatUint(call.PromptTokens, 10))
	h.Set("X-Max-Output-Tokens", strconv.FormatUint(uint64(call.OutputTokens), 10))
	if len(call.KvImports) > 0 {
		h.Set("X-Kv-Import", strings.Join(call.KvImports, ","))
	}
	h.Set("X-Fence", strconv.FormatUint(call.Fence, 10))
}

func toAnswer(response *http.Response, err error) (*gate.Response, error) {
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("%w: %w", gate.ErrNotSent, err)
		}
		return nil, err
	}
	body := response.Body
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body = &watchedBody{body: body}
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &gate.Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		BootID:      response.Header.Get("X-Boot-Id"),
		NotRun:      response.Header.Get("X-Not-Run") == "true",
		RetryAfter:  time.Duration(seconds) * time.Second,
		Body:        body,
	}, nil
}

// Resume asks for the events of an attempt from an id on.
func (c *Client) Resume(ctx context.Context, attempt string, from uint64) (*gate.Response, error) {
	target, err := c.url("/v1/attempts/" + url.PathEscape(attempt) + "/stream?from=" + strconv.FormatUint(from, 10))
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return toAnswer(c.attempts.Do(request))
}

// Cancel cancels an attempt; also nil when the endpoint does not know it.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/attempts/"+url.PathEscape(attempt), nil, nil)
	if isStatus(err, http.StatusNotFound, http.StatusMethodNotAllowed) {
		return nil // a plain service without cancel ends with its connection
	}
	return err
}

// DeleteBlock frees a KV block; also nil when the endpoint does not know it.
func (c *Client) DeleteBlock(ctx context.Context, block string) error {
	err := c.call(ctx, http.MethodDelete, "/kv/blocks/"+url.PathEscape(block), nil, nil)
	if isStatus(err, http.StatusNotFound) {
		return nil
	}
	return err
}

type listing struct {
	BootID   string   `json:"boot_id"`
	Attempts []string `json:"attempts"`
	Blocks   []string `json:"blocks"`
}

// List returns the boot id of this moment and the attempts there. A plain
// service that lists no attempts is asked for its boot id alone.
func (c *Client) List(ctx context.Context) (*gate.Listing, error) {
	var l listing
	err := c.call(ctx, http.MethodGet, "/v1/attempts", nil, &l)
	if isStatus(err, http.StatusNotFound) {
		err = c.call(ctx, http.MethodGet, "/boot", nil, &l)
	}
	if err != nil {
		return nil, err
	}
	return &gate.Listing{BootID: l.BootID, Attempts: l.Attempts, Blocks: l.Blocks}, nil
}

type loadReport struct {
	BootID              string  `json:"boot_id"`
	AgeMs               uint64  `json:"age_ms"`
	Running             uint32  `json:"running"`
	Waiting             uint32  `json:"waiting"`
	QueuedPrefillTokens uint64  `json:"queued_prefill_tokens"`
	MemoryTokensUsed    uint64  `json:"memory_tokens_used"`
	MemoryTokensTotal   uint64  `json:"memory_tokens_total"`
	PrefillRate         float64 `json:"prefill_tokens_per_second"`
	DecodeMsPerToken    float64 `json:"decode_ms_per_token"`
	Admissible          int     `json:"admissible"`
}

// Load returns the endpoint's load report.
func (c *Client) Load(ctx context.Context) (*gate.Load, error) {
	var l loadReport
	if err := c.call(ctx, http.MethodGet, "/load", nil, &l); err != nil {
		return nil, err
	}
	return &gate.Load{BootID: l.BootID, Admissible: l.Admissible, Report: &wire.EndpointLoad{
		Running: l.Running, Waiting: l.Waiting, QueuedPrefillTokens: l.QueuedPrefillTokens,
		MemoryTokensUsed: l.MemoryTokensUsed, MemoryTokensTotal: l.MemoryTokensTotal,
		PrefillTokensPerSecond: l.PrefillRate, DecodeMsPerToken: l.DecodeMsPerToken, AgeMs: l.AgeMs,
	}}, nil
}

var orderKinds = map[wire.OrderKind]string{
	wire.OrderKind_ORDER_KIND_LOAD_MODEL:   "load_model",
	wire.OrderKind_ORDER_KIND_LOAD_ADAPTER: "load_adapter",
	wire.OrderKind_ORDER_KIND_LOAD_VERSION: "load_version",
	wire.OrderKind_ORDER_KIND_CHANGE_ROLE:  "change_role",
}

type orderBody struct {
	Number   uint64 `json:"number"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
}

type orderResult struct {
	Result string `json:"result"`
}

// Order sends an order once; gate.ErrFenced when the endpoint refused its number.
func (c *Client) Order(ctx context.Context, order gate.OrderCall) (string, error) {
	body := orderBody{Number: order.Number, Fence: order.Fence, Kind: orderKinds[order.Kind], Argument: order.Argument}
	var result orderResult
	err := c.call(ctx, http.MethodPost, "/orders", body, &result)
	if isStatus(err, http.StatusConflict) {
		return "", gate.ErrFenced
	}
	return result.Result, err
}

type statusError int

func (s statusError) Error() string { return "endpoint answered status " + strconv.Itoa(int(s)) }

func isStatus(err error, any ...int) bool {
	var status statusError
	return errors.As(err, &status) && slices.Contains(any, int(status))
}

// call sends a request about the endpoint's state. Posts go out on a fresh
// connection and so are never resent.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	target, err := c.url(path)
	if err != nil {
		return err
	}
	client, body := c.state, io.Reader(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		client, body = c.attempts, onlyReader{bytes.NewReader(data)}
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
