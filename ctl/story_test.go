package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestStoryPrintsTheLinesOfOneRequestInOrder(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	first := write("entry1", `{"time":"2026-01-01T10:00:02.500Z","part":"serve","request":"r1","status":200,"message":"Last."}
{"time":"2026-01-01T10:00:01.000Z","part":"serve","request":"r1","endpoint":"e7","message":"First."}
{"time":"2026-01-01T10:00:01.200Z","part":"serve","request":"r12","message":"Another request."}
not a line of a log
{"time":"2026-01-01T10:00:01.300Z","request":"r1","mess
`)
	second := write("entry2", ` 3.2 host-2 {"time":"2026-01-01T10:00:01.500Z","request":"r1","error":"reset","message":"Between."}`+"\n")
	var out, errOut bytes.Buffer
	if code := Run([]string{"story", "r1", first, second}, &out, &errOut); code != ExitOK {
		t.Fatalf("code %d: %s", code, errOut.String())
	}
	text := out.String()
	places := []int{strings.Index(text, "First."), strings.Index(text, "Between."), strings.Index(text, "Last.")}
	if places[0] < 0 || places[1] < places[0] || places[2] < places[1] || strings.Contains(text, "Another") {
		t.Errorf("printed\n%s", text)
	}
	for _, want := range []string{"endpoint: e7", "error: reset", "host-2", "1.500s"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	if !strings.Contains(errOut.String(), "1 lines") {
		t.Errorf("the line that can't be parsed is not reported: %q", errOut.String())
	}
	if code := Run([]string{"story", "nobody", first}, &out, &errOut); code != ExitNotFound {
		t.Errorf("an unknown request: code %d", code)
	}
}
