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
	data := &positionalCommand[storyArguments]{}
	data.command = func() error { return a.story(&data.Args) }
	addCommand(parent, "story", "Print the log lines of one request in order of time", data)
}

// story prints the lines that name a request, from all logs in order of time.
func (a *app) story(args *storyArguments) error {
	var found []logLine
	unreadable, err := readLogs(args.Logs, `"`+args.Request+`"`, func(l logLine) { found = append(found, l) })
	if err != nil {
		return err
	}
	if unreadable > 0 {
		fmt.Fprintf(a.errOut, "%d lines name the request but can't be parsed\n", unreadable)
	}
	if len(found) == 0 {
		return fault.New(fault.NotFound, "no log line names request %q", args.Request)
	}
	slices.SortStableFunc(found, func(x, y logLine) int { return x.at.Compare(y.at) })
	for _, l := range found {
		a.printStoryLine(found[0].at, l)
	}
	return nil
}

// printStoryLine prints the time since the first line, the source and the message
// of a log line, and under them its other fields, one per line.
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
