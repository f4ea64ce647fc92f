// Package endpointhttp is the HTTP transport to endpoints. It is net/http's, with checks on
// the connection of what net/http's client doesn't show, so that a broken answer is an error
// and never a sound answer.
package endpointhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper whose connections are checked.
type Transport struct{ *http.Transport }

// New returns a transport with the settings of base, which must have a DialContext for
// unencrypted connections, and takes base over.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper. It tells the connection when the request begins
// and when it is written.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn)
			c.beginRequest()
			used.Store(c)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { used.Load().endRequest() },
	}
	return t.Transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
}

// EndsWithClose reports whether an answer has neither a length nor chunks, so that its body ends
// with its connection.
func EndsWithClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
