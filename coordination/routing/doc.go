// Package routing chooses an endpoint for each attempt. Reports from gates form
// an immutable snapshot. A decision filters the endpoints of the snapshot,
// scores the rest and picks one of them.
package routing
