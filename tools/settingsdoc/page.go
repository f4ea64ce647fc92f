// Command settingsdoc writes docs/SETTINGS.md from the programs' options.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/apricotspoke/apricotspoke/role/agent"
	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/role/entry"
	"github.com/apricotspoke/apricotspoke/settings"
)

const intro = `# Settings

Every flag has an environment variable; the flag goes first. Settings are checked before anything starts, and all faults of range and combination are told at once. ` + "`--check`" + ` ends after the check with status 0 or 2. ` + "`--print-settings`" + ` prints each value with its source, secrets hidden. Settings are static; contracts, data centres and endpoints are changed with ` + "`apricotspokectl`" + `.

This page is written by ` + "`go run ./tools/settingsdoc`" + ` and held true by a test.
`

// page returns the whole page.
func page() string {
	parts := []string{
		intro,
		settings.Markdown("apricotspoke-entry", &entry.Options{}),
		settings.Markdown("apricotspoke-agent", &agent.Options{}),
		settings.Markdown("apricotspoke-control", &control.ProgramOptions{}),
	}
	return strings.Join(parts, "\n")
}

func main() {
	if err := os.WriteFile("docs/SETTINGS.md", []byte(page()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
