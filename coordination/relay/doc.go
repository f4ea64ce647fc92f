// Package relay sends a request to a gate and returns the answer. It retries a
// request at other gates, puts the chunks of an answer in order, and resumes an
// answer whose connection broke.
package relay
