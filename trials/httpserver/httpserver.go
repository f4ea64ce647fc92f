// Package httpserver starts HTTP servers for tests, each on a loopback address of its own.
package httpserver

import (
	"net/http"
	"net/http/httptest"

	"github.com/apricotspoke/apricotspoke/trials/loopback"
)

// Start starts a server that runs until the end of a test.
func Start(t loopback.Test, handler http.Handler) *httptest.Server {
	t.Helper()
	server := New(t)
	server.Config.Handler = handler
	server.Start()
	return server
}

// New returns a server that listens but isn't started yet, for a handler that needs its
// address. It is closed at the end of the test.
func New(t loopback.Test) *httptest.Server {
	t.Helper()
	server := &httptest.Server{Listener: loopback.Listen(t), Config: &http.Server{}}
	t.Cleanup(server.Close)
	return server
}
