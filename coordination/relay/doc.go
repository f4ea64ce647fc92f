// Package relay carries a request to a gate and its answer back: it runs the
// attempts of a request one after the other, puts the chunks of an answer in
// order, and resumes an answer whose link broke.
package relay
