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

// maxLineBytes bounds one line of a log; a longer one ends the reading.
const maxLineBytes = 1 << 20

// logLine is one line of a process's log.
type logLine struct {
	at     time.Time
	source string
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

// readLogs calls take with each line of the logs that holds a text, and returns
// how many such lines can't be read. Without a log it reads standard input.
func readLogs(paths []string, holds string, take func(logLine)) (unread int, err error) {
	if len(paths) == 0 {
		return readLog("-", os.Stdin, holds, take)
	}
	for _, path := range paths {
		left, err := readLogFile(path, holds, take)
		unread += left
		if err != nil {
			return unread, err
		}
	}
	return unread, nil
}

func readLogFile(path, holds string, take func(logLine)) (unread int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, fault.Wrap(err, fault.InvalidRequest, "the log %q can't be read", path)
	}
	defer file.Close()
	return readLog(path, file, holds, take)
}

// readLog reads one log. Text before a line's first brace, such as a host's name,
// is its source.
func readLog(source string, r io.Reader, holds string, take func(logLine)) (unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(holds)) {
			continue
		}
		l := logLine{source: cmp.Or(strings.TrimSpace(string(text[:start])), source)}
		if err := json.Unmarshal(text[start:], &l.fields); err != nil {
			unread++
			continue
		}
		if l.at, err = time.Parse(time.RFC3339Nano, l.text("time")); err != nil {
			unread++
			continue
		}
		take(l)
	}
	if err := scanner.Err(); err != nil {
		return unread, fault.Wrap(err, fault.InvalidRequest, "the log %q can't be read to its end", source)
	}
	return unread, nil
}
