package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
)

const mebibyte = 1 << 20

// row is one row of the demonstration's table.
type row struct {
	request, response, firstToken, endpoint string
}

// table collects requests, responses and the largest peak memory of a process.
type table struct {
	rows              []row
	peakMemoryBytes   uint64
	peakMemoryProcess string
}

func (t *table) add(request string, result caller.Result) {
	t.rows = append(t.rows, row{
		request:    request,
		response:   describeResult(result),
		firstToken: formatMs(result.FirstToken),
		endpoint:   result.Endpoint(),
	})
}

func (t *table) addNote(request, response string) {
	t.rows = append(t.rows, row{request: request, response: response})
}

func (t *table) recordMemory(name string, bytes uint64) {
	if bytes > t.peakMemoryBytes {
		t.peakMemoryBytes, t.peakMemoryProcess = bytes, name
	}
}

func describeResult(r caller.Result) string {
	switch {
	case r.Status == 0:
		return "no response: " + r.Failure
	case r.NotRun():
		return fmt.Sprintf("%d, not run, Retry-After %s s", r.Status, r.RetryAfter())
	case !r.Complete:
		return fmt.Sprintf("%d, incomplete: %s", r.Status, r.Failure)
	case r.Text != "":
		return fmt.Sprintf("%d, %d bytes of text", r.Status, len(r.Text))
	}
	return fmt.Sprintf("%d, %d bytes", r.Status, len(r.Body))
}

func formatMs(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

func (t *table) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "request\tresponse\tfirst token\tendpoint")
	for _, r := range t.rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.request, r.response, r.firstToken, r.endpoint)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "largest peak memory of an entry or agent: %d MiB (%s)\n", t.peakMemoryBytes/mebibyte, t.peakMemoryProcess)
}
