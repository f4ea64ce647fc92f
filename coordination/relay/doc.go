// Package relay sends a request to a gate and returns the answer. It retries a
// request at other gates, puts the chunks of an answer in order, and resumes an
// answer whose connection broke. The process that receives callers' requests and
// runs this package is called an entry.
package relay
