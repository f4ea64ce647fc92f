// Package callerhttp serves callers: OpenAI-compatible completions, plain
// services, and the resumption of streams.
package callerhttp
