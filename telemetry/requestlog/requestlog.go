// Package requestlog holds the messages of the log lines that an entry writes for a
// request and that the command line counts causes by.
package requestlog

// The messages, in the order in which a request may get them.
const (
	Chosen = "Endpoints were chosen."
	NoRoom = "No endpoint has room."
	Late   = "The answer is late."
	Final  = "The request has its final answer."
)
