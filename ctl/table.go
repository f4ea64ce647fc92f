package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table writes rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, header ...string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row(toAny(header)...)
	return t
}

func toAny(texts []string) []any {
	cells := make([]any, len(texts))
	for i, text := range texts {
		cells[i] = text
	}
	return cells
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }
