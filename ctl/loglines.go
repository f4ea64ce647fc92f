package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// maxLineBytes is the longest log line that can be read; a longer one is an error.
const maxLineBytes = 1 << 20

// logLine is one parsed line of a log.
type logLine struct {
	at     time.Time
	source string // text before the JSON object, else the path of the log
	fields map[string]any
}

func (l *logLine) text(field string) string {
	text, _ := l.fields[field].(string)
	return text
}

func (l *logLine) number(field string) float64 {
	number, _ := l.fields[field].(float64)
	return number
}

func (l *logLine) flag(field string) bool {
	flag, _ := l.fields[field].(bool)
	return flag
}

func (l *logLine) texts(field string) []string {
	list, _ := l.fields[field].([]any)
	texts := make([]string, 0, len(list))
	for _, item := range list {
		if text, ok := item.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// readLogs calls handle for each log line with the given text and returns how many
// such lines can't be parsed. Without paths it reads standard input.
func readLogs(paths []string, contains string, handle func(logLine)) (unreadable int, err error) {
	if len(paths) == 0 {
		return readLog("-", os.Stdin, contains, handle)
	}
	for _, path := range paths {
		count, err := readLogFile(path, contains, handle)
		unreadable += count
		if err != nil {
			return unreadable, err
		}
	}
	return unreadable, nil
}

func readLogFile(path, contains string, handle func(logLine)) (unreadable int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, fault.Wrap(err, fault.InvalidRequest, "log %q cannot be read", path)
	}
	defer file.Close()
	return readLog(path, file, contains, handle)
}

// readLog reads one log. Text before the JSON object of a line, such as the name
// of a host, is taken as its source.
func readLog(source string, r io.Reader, contains string, handle func(logLine)) (unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(contains)) {
			continue
		}
		l := logLine{source: cmp.Or(strings.TrimSpace(string(text[:start])), source)}
		if err := json.Unmarshal(text[start:], &l.fields); err != nil {
			unreadable++
			continue
		}
		if l.at, err = time.Parse(time.RFC3339Nano, l.text("time")); err != nil {
			unreadable++
			continue
		}
		handle(l)
	}
	if err := scanner.Err(); err != nil {
		return unreadable, fault.Wrap(err, fault.InvalidRequest, "log %q cannot be read to its end", source)
	}
	return unreadable, nil
}
