// Package httpstatus tells what statuses of HTTP mean for an exchange: which may end it, and
// which say that the request has not run. Go's client accepts any three digits, and its server
// panics on a status below 100.
package httpstatus

import "net/http"

// The final statuses, those of RFC 9110, section 15, without the interim ones.
const (
	minFinal = 200
	maxFinal = 599
)

// IsFinal reports whether an answer may have the status.
func IsFinal(status int) bool { return status >= minFinal && status <= maxFinal }

// SaysNotRun reports whether a status tells a caller that its request has not run and never
// will, so that the caller may send it again.
func SaysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
