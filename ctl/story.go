package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

// maxLineBytes bounds one line of a log; a longer one is left out and counted.
const maxLineBytes = 1 << 20

type storyArguments struct {
	Request string   `positional-arg-name:"REQUEST"`
	Logs    []string `positional-arg-name:"LOG" required:"0"`
}

func (a *app) registerStory(parent *flags.Command) {
	data := &leaf[storyArguments]{}
	data.command = func() error { return a.story(&data.Args) }
	add(parent, "story", "Print what the logs tell of one request, in order", data)
}

// storyLine is one line of a log that names the request.
type storyLine struct {
	at     time.Time
	source string
	fields map[string]any
}

// story prints the lines of all logs that name a request. Without a log it
// reads standard input.
func (a *app) story(args *storyArguments) error {
	var found []storyLine
	skipped := 0
	collect := func(source string, r io.Reader) error {
		lines, left, err := linesOf(args.Request, source, r)
		found, skipped = append(found, lines...), skipped+left
		return err
	}
	if len(args.Logs) == 0 {
		if err := collect("-", os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range args.Logs {
		if err := collectFile(path, collect); err != nil {
			return err
		}
	}
	if skipped > 0 {
		fmt.Fprintf(a.errOut, "%d lines name the request and can't be read\n", skipped)
	}
	if len(found) == 0 {
		return fault.New(fault.NotFound, "no line names request %q", args.Request)
	}
	slices.SortStableFunc(found, func(x, y storyLine) int { return x.at.Compare(y.at) })
	for _, l := range found {
		a.printStoryLine(found[0].at, l)
	}
	return nil
}

func collectFile(path string, collect func(string, io.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "the log %q can't be read", path)
	}
	defer file.Close()
	return collect(path, file)
}

// linesOf returns the lines that name a request, and how many of them can't be
// read. Text before a line's first brace, such as a host's name, is its source.
func linesOf(request, source string, r io.Reader) (lines []storyLine, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	name := []byte(`"` + request + `"`)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, name) {
			continue
		}
		l := storyLine{source: cmp.Or(strings.TrimSpace(string(text[:start])), source)}
		if err := json.Unmarshal(text[start:], &l.fields); err != nil {
			unread++
			continue
		}
		if l.at, err = time.Parse(time.RFC3339Nano, fmt.Sprint(l.fields["time"])); err != nil {
			unread++
			continue
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return lines, unread, fault.Wrap(err, fault.InvalidRequest, "the log %q can't be read to its end", source)
	}
	return lines, unread, nil
}

// printStoryLine prints the time since the first line, the message and what
// decided it.
func (a *app) printStoryLine(first time.Time, l storyLine) {
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
