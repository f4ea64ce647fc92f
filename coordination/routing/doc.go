// Package routing chooses an endpoint for each attempt. It runs in every entry,
// the process that receives callers' requests. Reports from gates form an
// immutable snapshot. A decision filters the endpoints of the snapshot, scores
// the rest and picks one of them.
package routing
