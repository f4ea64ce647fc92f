// Package shortcall makes HTTP servers for calls that take no time to speak of: those of
// operators, of endpoints that announce themselves, and of checks.
package shortcall

import (
	"net/http"
	"time"
)

const (
	// callTimeout bounds the body of a call and its answer. It is far longer than callers
	// wait.
	callTimeout = 30 * time.Second
	// idleTimeout is how long a connection without a call is kept.
	idleTimeout = time.Minute
)

// NewServer returns a server of short calls. Connections whose other end is silent in the
// middle of a call, doesn't read its answer or makes no further call are closed.
// headerTimeout bounds the header of a call.
func NewServer(handler http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		IdleTimeout:       idleTimeout,
	}
}
