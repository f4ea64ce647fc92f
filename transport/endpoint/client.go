// Package endpoint implements the HTTP protocol of docs/ENDPOINT.md between an agent and
// its endpoint: the client that calls the endpoint, and the handler of its announcements.
// An endpoint is a model engine or a plain HTTP service; its agent admits and queues
// attempts and forwards them to it.
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
	"github.com/apricotspoke/apricotspoke/protocol/httpstatus"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/transport/endpointhttp"
)

const (
	dialTimeout           = 500 * time.Millisecond
	maxStateResponseBytes = 8 << 20 // of a response about the endpoint's state
	maxIdleConns          = 8
	// maxResponseHeaderBytes bounds the header of a response, which an endpoint may send
	// without end.
	maxResponseHeaderBytes = 64 << 10
)

// Client implements gate.Endpoint over HTTP. The endpoint's address is set from its
// announcements.
type Client struct {
	address       atomic.Pointer[string]
	attemptClient *http.Client // never reuses a connection, as net/http resends a request when a reused one fails
	stateClient   *http.Client
}

// NewClient returns a client. Until SetAddress is called, its calls return errors that wrap
// gate.ErrNotSent.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		attemptClient: newHTTPClient(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
		stateClient:   newHTTPClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns}),
	}
}

// newHTTPClient returns a client that does not follow redirects or decompress, and that
// gives up an endless header.
func newHTTPClient(transport *http.Transport) *http.Client {
	transport.DisableCompression = true
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	return &http.Client{
		Transport: endpointhttp.New(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// SetAddress sets the endpoint's address, as host:port.
func (c *Client) SetAddress(address string) { c.address.Store(&address) }

func (c *Client) url(path string) (string, error) {
	address := c.address.Load()
	if address == nil {
		return "", fmt.Errorf("the endpoint has not announced its address: %w", gate.ErrNotSent)
	}
	return "http://" + *address + path, nil
}

// noRewindReader hides the type of a body from net/http, which therefore cannot rewind it
// to send the request again.
type noRewindReader struct{ io.Reader }

// checkedReader calls beforeSend, if not nil, before the first read, and fails if the call
// may no longer be sent. net/http cannot rewind it either.
type checkedReader struct {
	beforeSend func() error
	reader     io.Reader
}

// Read implements io.Reader.
func (c *checkedReader) Read(p []byte) (int, error) {
	if c.beforeSend != nil {
		if err := c.beforeSend(); err != nil {
			return 0, err
		}
		c.beforeSend = nil
	}
	return c.reader.Read(p)
}

// Send sends an attempt once and never resends it. The error wraps gate.ErrNotSent when no
// request was built or no connection was opened. It does not wrap it when BeforeSend fails.
// BeforeSend is not called for a call without a body.
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
		body = &checkedReader{beforeSend: call.BeforeSend, reader: bytes.NewReader(call.Body)}
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, target, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", gate.ErrNotSent, err)
	}
	request.ContentLength = int64(len(call.Body))
	setHeaders(request.Header, call)
	return toResponse(c.attemptClient.Do(request))
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

// toResponse converts the result of an HTTP call. An event stream gets a limit on its
// silence.
func toResponse(response *http.Response, err error) (*gate.Response, error) {
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, fmt.Errorf("%w: %w", gate.ErrNotSent, err)
		}
		return nil, err
	}
	if !httpstatus.IsFinal(response.StatusCode) {
		_ = response.Body.Close()
		return nil, statusError(response.StatusCode)
	}
	body := response.Body
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body = &silenceTimeoutBody{body: body}
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &gate.Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		BootID:      response.Header.Get("X-Boot-Id"),
		NotRun:      response.Header.Get("X-Not-Run") == "true",
		RetryAfter:  time.Duration(seconds) * time.Second,
		Body:        body,

		EndsWithClose: endpointhttp.EndsWithClose(response),
	}, nil
}

// Resume requests the events of a running attempt again, from the event with id from.
func (c *Client) Resume(ctx context.Context, attempt string, from uint64) (*gate.Response, error) {
	target, err := c.url("/v1/attempts/" + url.PathEscape(attempt) + "/stream?from=" + strconv.FormatUint(from, 10))
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return toResponse(c.attemptClient.Do(request))
}

// Cancel cancels an attempt. It returns nil if the endpoint does not know the attempt.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	err := c.call(ctx, http.MethodDelete, "/v1/attempts/"+url.PathEscape(attempt), nil, nil)
	if isStatus(err, http.StatusNotFound, http.StatusMethodNotAllowed) {
		return nil // unknown, or a service without cancellation, which is expected to stop when its connection closes
	}
	return err
}

// DeleteBlock frees a KV block. It returns nil if the endpoint does not know the block.
func (c *Client) DeleteBlock(ctx context.Context, block string) error {
	err := c.call(ctx, http.MethodDelete, "/kv/blocks/"+url.PathEscape(block), nil, nil)
	if isStatus(err, http.StatusNotFound) {
		return nil
	}
	return err
}

// listing is the JSON body of GET /v1/attempts and of GET /boot.
type listing struct {
	BootID   string   `json:"boot_id"`
	Attempts []string `json:"attempts"`
	Blocks   []string `json:"blocks"`
}

// List returns the endpoint's current boot id, its attempts and its KV blocks. For a plain
// service without a list of attempts it returns the boot id only.
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

// loadReport is the JSON body of GET /load.
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

// orderBody is the JSON body of POST /orders.
type orderBody struct {
	Number   uint64 `json:"number"`
	Fence    uint64 `json:"fence"`
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
}

type orderResult struct {
	Result string `json:"result"`
}

// Order sends an order once, never resends it, and returns its result. The error is
// gate.ErrFenced if the endpoint refused the order as outdated.
func (c *Client) Order(ctx context.Context, order gate.OrderCall) (string, error) {
	body := orderBody{Number: order.Number, Fence: order.Fence, Kind: orderKinds[order.Kind], Argument: order.Argument}
	var result orderResult
	err := c.call(ctx, http.MethodPost, "/orders", body, &result)
	if isStatus(err, http.StatusConflict) {
		return "", gate.ErrFenced
	}
	return result.Result, err
}

// statusError is an HTTP status that is not a success, or that no answer may have.
type statusError int

func (s statusError) Error() string { return "endpoint returned status " + strconv.Itoa(int(s)) }

// isStatus reports whether err is one of the statuses.
func isStatus(err error, any ...int) bool {
	var status statusError
	return errors.As(err, &status) && slices.Contains(any, int(status))
}

// call sends a request about the endpoint's state and decodes the response into out, if
// not nil. Requests with a body use a new connection, so that they are never resent.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	target, err := c.url(path)
	if err != nil {
		return err
	}
	client, body := c.stateClient, io.Reader(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		client, body = c.attemptClient, noRewindReader{bytes.NewReader(data)}
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			client.CloseIdleConnections() // they may be dead too
		}
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStateResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices || !httpstatus.IsFinal(response.StatusCode) {
		return statusError(response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
