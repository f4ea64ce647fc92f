// Package callerhttp is the HTTP server of an entry. An entry authenticates the
// requests of callers, chooses an endpoint for each and relays the answer. The
// server offers OpenAI-compatible completions, requests to plain services (HTTP
// services that are not model engines) and the resumption of interrupted streams.
package callerhttp
