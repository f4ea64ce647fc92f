package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/caller"
)

const mebibyte = 1 << 20

// row is one line of the demonstration's table.
type row struct {
	asked, cameBack, firstToken, endpoint string
}

// table collects what was asked and what came back.
type table struct {
	rows         []row
	peakMemory   uint64
	peakMemoryOf string
}

func (t *table) add(asked string, result caller.Result) {
	t.rows = append(t.rows, row{
		asked:      asked,
		cameBack:   describe(result),
		firstToken: milliseconds(result.FirstToken),
		endpoint:   result.Endpoint(),
	})
}

func (t *table) note(asked, cameBack string) {
	t.rows = append(t.rows, row{asked: asked, cameBack: cameBack})
}

func (t *table) recordMemory(name string, bytes uint64) {
	if bytes > t.peakMemory {
		t.peakMemory, t.peakMemoryOf = bytes, name
	}
}

func describe(r caller.Result) string {
	switch {
	case r.Status == 0:
		return "no answer: " + r.Failure
	case r.NotRun():
		return fmt.Sprintf("%d, not run, Retry-After %s s", r.Status, r.RetryAfter())
	case !r.Complete:
		return fmt.Sprintf("%d, not whole: %s", r.Status, r.Failure)
	case r.Text != "":
		return fmt.Sprintf("%d, %d bytes of text", r.Status, len(r.Text))
	}
	return fmt.Sprintf("%d, %d bytes", r.Status, len(r.Body))
}

func milliseconds(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", d.Milliseconds())
}

func (t *table) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "asked\tcame back\tfirst token\tendpoint")
	for _, r := range t.rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.asked, r.cameBack, r.firstToken, r.endpoint)
	}
	_ = w.Flush()
	fmt.Fprintf(out, "largest peak memory of an entry or agent: %d MiB (%s)\n", t.peakMemory/mebibyte, t.peakMemoryOf)
}
