package ctl

import (
	"io"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// docs/COMMAND-LINE.md must list every command.
func TestPageNamesEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../docs/COMMAND-LINE.md")
	if err != nil {
		t.Fatal(err)
	}
	parser := flags.NewNamedParser("apricotspokectl", flags.None)
	(&app{out: io.Discard, errOut: io.Discard}).registerCommands(parser)
	var check func(prefix string, commands []*flags.Command)
	check = func(prefix string, commands []*flags.Command) {
		for _, c := range commands {
			name := prefix + c.Name
			if len(c.Commands()) > 0 {
				check(name+" ", c.Commands())
			} else if !strings.Contains(string(page), "`"+name) {
				t.Errorf("docs/COMMAND-LINE.md does not name %q", name)
			}
		}
	}
	check("", parser.Commands())
}
