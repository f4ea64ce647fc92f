package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// The messages of entries from which causes are told.
const (
	messageChosen = "Endpoints were chosen."
	messageLate   = "The answer is late."
	messageNoRoom = "No endpoint has room."
	messageFinal  = "The request has its final answer."
)

// farOff is the ratio of a first event's time to its prediction from which on
// the prediction counts as wrong.
const farOff = 2

type causesArguments struct {
	Logs []string `positional-arg-name:"LOG" required:"0"`
}

func (a *app) registerCauses(parent *flags.Command) {
	data := &leaf[causesArguments]{}
	data.command = func() error { return a.causes(&data.Args) }
	add(parent, "causes", "Count late, refused and failed requests by cause", data)
}

// requestLog is what the logs tell of one request.
type requestLog struct {
	id     string
	chosen []logLine
	late   *logLine
	final  *logLine
	noRoom bool
}

// reading is a part of a prompt that an endpoint was given.
type reading struct {
	at      time.Time
	request string
}

// casebook holds the requests of a set of logs.
type casebook struct {
	requests map[string]*requestLog
	parts    map[string][]reading // of prompts read by several endpoints, by endpoint
}

func (c *casebook) take(l logLine) {
	id := l.text("request")
	q := c.requests[id]
	if q == nil {
		q = &requestLog{id: id}
		c.requests[id] = q
	}
	switch l.text("message") {
	case messageChosen:
		q.chosen = append(q.chosen, l)
		if helpers := l.texts("helpers"); len(helpers) > 0 {
			for _, endpoint := range append(helpers, l.text("endpoint")) {
				c.parts[endpoint] = append(c.parts[endpoint], reading{l.at, id})
			}
		}
	case messageLate:
		q.late = &l
	case messageNoRoom:
		q.noRoom = true
	case messageFinal:
		q.final = &l
	}
}

// cause tells why a request was not served on time, nothing when it was.
func (c *casebook) cause(q *requestLog) string {
	if q.final == nil {
		return "no final answer: the process ended, or its log does"
	}
	outcome := q.final.text("outcome")
	switch {
	case outcome == "served" && q.final.number("status") >= 500:
		return fmt.Sprintf("answered %.0f by an endpoint", q.final.number("status"))
	case outcome == "served" && q.late != nil:
		return "late: " + c.lateness(q)
	case outcome == "served" || outcome == "not_found" || outcome == "unauthenticated":
		return ""
	case outcome == "broken_off" && isCut(q.final):
		return "cut by the caller or its limit: " + c.lateness(q)
	case outcome == "broken_off":
		return "broken off: the endpoint's stream ended"
	case q.noRoom && outcome == "overloaded":
		return "refused: no endpoint had room"
	case len(q.chosen) == 0:
		return outcome + ": nothing was sent"
	}
	return outcome + ": no event came"
}

// isCut reports whether the caller's leaving or its limit ended a stream.
func isCut(final *logLine) bool { return strings.Contains(final.text("error"), "context ") }

// lateness tells which objective was missed first, and by what.
func (c *casebook) lateness(q *requestLog) string {
	if q.late == nil || len(q.chosen) == 0 {
		return "the logs do not tell why"
	}
	first := q.chosen[0]
	after := "no long part came to its endpoint after it"
	if c.partCame(q, first.at) {
		after = "a long part came to its endpoint after it"
	}
	if q.late.text("objective") != "first" {
		return "by a pause, " + after
	}
	predicted, took := first.number("predicted_first_ms"), q.late.number("took")-first.number("waited")
	switch {
	case first.number("waited")+predicted > q.late.number("allowed"):
		return "by the first event, as predicted"
	case predicted > 0 && took > farOff*predicted:
		return "by the first event, far off its prediction, " + after
	}
	return "by the first event, a little off its prediction, " + after
}

// partCame reports whether the endpoint of a late answer was given a part of
// another prompt between its choice and its lateness.
func (c *casebook) partCame(q *requestLog, from time.Time) bool {
	return slices.ContainsFunc(c.parts[q.late.text("endpoint")], func(r reading) bool {
		return r.request != q.id && r.at.After(from) && !r.at.After(q.late.at)
	})
}

// causeCount is how many requests have one cause.
type causeCount struct {
	cause, example string
	count          int
}

func (c *casebook) counts() []causeCount {
	byCause := make(map[string]*causeCount)
	for _, q := range c.requests {
		cause := c.cause(q)
		if cause == "" {
			continue
		}
		n := byCause[cause]
		if n == nil {
			n = &causeCount{cause: cause, example: q.id}
			byCause[cause] = n
		}
		n.count++
		n.example = min(n.example, q.id)
	}
	var counts []causeCount
	for _, n := range byCause {
		counts = append(counts, *n)
	}
	slices.SortFunc(counts, func(x, y causeCount) int {
		return cmp.Or(cmp.Compare(y.count, x.count), cmp.Compare(x.cause, y.cause))
	})
	return counts
}

// causes counts the requests of all logs that were late, refused or failed.
func (a *app) causes(args *causesArguments) error {
	c := &casebook{requests: make(map[string]*requestLog), parts: make(map[string][]reading)}
	unread, err := readLogs(args.Logs, `"request":"`, c.take)
	if err != nil {
		return err
	}
	if unread > 0 {
		fmt.Fprintf(a.errOut, "%d lines can't be read\n", unread)
	}
	t := newTable(a.out, "REQUESTS", "CAUSE", "EXAMPLE")
	for _, n := range c.counts() {
		t.row(n.count, n.cause, n.example)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%d requests in all\n", len(c.requests))
	return nil
}
