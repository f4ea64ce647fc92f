package ctl

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

type storyArguments struct {
	Request string   `positional-arg-name:"REQUEST"`
	Logs    []string `positional-arg-name:"LOG" required:"0"`
}

func (a *app) registerStory(parent *flags.Command) {
	data := &leaf[storyArguments]{}
	data.command = func() error { return a.story(&data.Args) }
	add(parent, "story", "Print what the logs tell of one request, in order", data)
}

// story prints the lines of all logs that name a request.
func (a *app) story(args *storyArguments) error {
	var found []logLine
	unread, err := readLogs(args.Logs, `"`+args.Request+`"`, func(l logLine) { found = append(found, l) })
	if err != nil {
		return err
	}
	if unread > 0 {
		fmt.Fprintf(a.errOut, "%d lines name the request and can't be read\n", unread)
	}
	if len(found) == 0 {
		return fault.New(fault.NotFound, "no line names request %q", args.Request)
	}
	slices.SortStableFunc(found, func(x, y logLine) int { return x.at.Compare(y.at) })
	for _, l := range found {
		a.printStoryLine(found[0].at, l)
	}
	return nil
}

// printStoryLine prints the time since the first line, the message and what
// decided it.
func (a *app) printStoryLine(first time.Time, l logLine) {
	if a.options.Output == "json" {
		if err := json.NewEncoder(a.out).Encode(l.fields); err != nil {
			fmt.Fprintln(a.errOut, "apricotspokectl:", err)
		}
		return
	}
	fmt.Fprintf(a.out, "%9.3fs  %-24s %s\n", l.at.Sub(first).Seconds(), l.source, l.fields["message"])
	keys := make([]string, 0, len(l.fields))
	for key := range l.fields {
		switch key {
		case "time", "message", "level", "part", "request":
		default:
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if value := l.fields[key]; value != nil && value != "" {
			fmt.Fprintf(a.out, "%12s%s: %v\n", "", key, value)
		}
	}
}
