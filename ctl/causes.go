package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/telemetry/requestlog"
	"github.com/jessevdk/go-flags"
)

// wrongPredictionRatio is how many times longer than predicted the first event
// takes before the prediction counts as wrong.
const wrongPredictionRatio = 2

type causesArguments struct {
	Logs []string `positional-arg-name:"LOG" required:"0"`
}

func (a *app) registerCauses(parent *flags.Command) {
	data := &positionalCommand[causesArguments]{}
	data.command = func() error { return a.causes(&data.Args) }
	addCommand(parent, "causes", "Count late, refused and failed requests by cause", data)
}

// requestLog holds the log lines of one request.
type requestLog struct {
	id      string
	choices []logLine
	late    *logLine
	final   *logLine
	noRoom  bool
	limited bool // the rate limits of all endpoints were used up
}

// promptPart is a part of a long prompt that was assigned to an endpoint.
type promptPart struct {
	at      time.Time
	request string
}

// logIndex holds the log lines of all requests.
type logIndex struct {
	requests map[string]*requestLog
	parts    map[string][]promptPart // of prompts computed by several endpoints; by endpoint
}

// add records a log line of a request.
func (c *logIndex) add(l logLine) {
	id := l.text("request")
	q := c.requests[id]
	if q == nil {
		q = &requestLog{id: id}
		c.requests[id] = q
	}
	switch l.text("message") {
	case requestlog.Chosen:
		q.choices = append(q.choices, l)
		if helpers := l.texts("helpers"); len(helpers) > 0 {
			for _, endpoint := range append(helpers, l.text("endpoint")) {
				c.parts[endpoint] = append(c.parts[endpoint], promptPart{l.at, id})
			}
		}
	case requestlog.Late:
		q.late = &l
	case requestlog.NoRoom:
		q.noRoom, q.limited = true, l.flag("out_of_permits")
	case requestlog.Final:
		q.final = &l
	}
}

// cause returns why a request was not served on time, or "" if it was.
func (c *logIndex) cause(q *requestLog) string {
	if q.final == nil {
		return "no final answer: the process or its log ended first"
	}
	outcome := q.final.text("outcome")
	switch {
	case outcome == "served" && q.final.number("status") >= 500:
		return fmt.Sprintf("status %.0f from an endpoint", q.final.number("status"))
	case outcome == "served" && q.late != nil:
		return "late: " + c.lateCause(q)
	case outcome == "served" || outcome == "not_found" || outcome == "unauthenticated":
		return ""
	case outcome == "broken_off" && cancelledByCaller(q.final):
		return "cancelled by the caller or its timeout: " + c.lateCause(q)
	case outcome == string(fault.Cancelled) && q.final.number("events") > 0:
		return "cancelled: the caller did not take its answer"
	case outcome == "broken_off":
		return "broken off: the endpoint's stream ended"
	case q.limited && outcome == "overloaded":
		return "refused: the rate limits of all endpoints were used up"
	case q.noRoom && outcome == "overloaded":
		return "refused: no endpoint had room"
	case outcome == string(fault.PromptQuarantined):
		return "refused: a part of the prompt ends endpoints"
	case len(q.choices) == 0:
		return outcome + ": nothing was sent"
	}
	return outcome + ": no event arrived"
}

// cancelledByCaller reports whether the caller, or its timeout, ended a stream: the
// error is then one of package context.
func cancelledByCaller(final *logLine) bool { return strings.Contains(final.text("error"), "context ") }

// lateCause returns which objective was missed first, and whether the prediction
// or a part of another prompt explains it.
func (c *logIndex) lateCause(q *requestLog) string {
	if q.late == nil || len(q.choices) == 0 {
		return "the logs don't show why"
	}
	first := q.choices[0]
	after := "no part of another long prompt reached the endpoint meanwhile"
	if c.partAssigned(q, first.at) {
		after = "a part of another long prompt reached the endpoint meanwhile"
	}
	if q.late.text("objective") != "first" {
		return "pause between events, " + after
	}
	// waited, took and allowed are in milliseconds, like predicted_first_ms.
	predicted, took := first.number("predicted_first_ms"), q.late.number("took")-first.number("waited")
	switch {
	case first.number("waited")+predicted > q.late.number("allowed"):
		return "first event late, as predicted"
	case predicted > 0 && took > wrongPredictionRatio*predicted:
		return "first event late, far later than predicted, " + after
	}
	return "first event late, a little later than predicted, " + after
}

// partAssigned reports whether a part of another prompt was assigned to the
// endpoint of a late answer between from, when it was chosen, and the lateness.
func (c *logIndex) partAssigned(q *requestLog, from time.Time) bool {
	return slices.ContainsFunc(c.parts[q.late.text("endpoint")], func(r promptPart) bool {
		return r.request != q.id && r.at.After(from) && !r.at.After(q.late.at)
	})
}

// causeCount is the number of requests with one cause, and the ID of one of them.
type causeCount struct {
	cause, example string
	count          int
}

// counts returns the causes, the most frequent first.
func (c *logIndex) counts() []causeCount {
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

// causes prints how many requests were late, refused or failed, by cause.
func (a *app) causes(args *causesArguments) error {
	c := &logIndex{requests: make(map[string]*requestLog), parts: make(map[string][]promptPart)}
	unreadable, err := readLogs(args.Logs, `"request":"`, c.add)
	if err != nil {
		return err
	}
	if unreadable > 0 {
		fmt.Fprintf(a.errOut, "%d lines can't be parsed\n", unreadable)
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
