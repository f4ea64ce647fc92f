// Package routing chooses an endpoint for each attempt. Reports of gates form
// an immutable snapshot; a decision runs filters, scorers and a picker over it.
package routing
