package settings

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// secretTag is the struct tag of an option whose value is never printed.
const secretTag = "secret"

// printSettings writes a table with the name, value and source of each setting.
func printSettings(parser *flags.Parser, w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "SETTING\tVALUE\tSOURCE")
	visitOptions(parser, func(o *flags.Option) {
		fmt.Fprintf(table, "--%s\t%s\t%s\n", o.LongNameWithNamespace(), displayValue(o), valueSource(o))
	})
}

func visitOptions(parser *flags.Parser, visit func(*flags.Option)) {
	for _, group := range parser.Groups() {
		visitGroup(group, visit)
	}
}

// visitGroup calls visit for the options of a group and its inner groups. It skips
// --check, --print-settings and --help, which are no settings: newParser names the group
// of the first two "Modes", and go-flags that of the last "Help Options".
func visitGroup(group *flags.Group, visit func(*flags.Option)) {
	if group.ShortDescription == "Modes" || group.ShortDescription == "Help Options" {
		return
	}
	for _, option := range group.Options() {
		visit(option)
	}
	for _, inner := range group.Groups() {
		visitGroup(inner, visit)
	}
}

func isSecret(o *flags.Option) bool { return o.Field().Tag.Get(secretTag) != "" }

func displayValue(o *flags.Option) string {
	value := fmt.Sprint(o.Value())
	if isSecret(o) && value != "" && value != "[]" {
		return "(hidden)"
	}
	return value
}

func valueSource(o *flags.Option) string {
	env := o.EnvKeyWithNamespace()
	_, inEnv := os.LookupEnv(env)
	switch {
	case o.IsSet() && !o.IsSetDefault():
		return "flag"
	case env != "" && inEnv:
		return "environment " + env
	default:
		return "default"
	}
}

// Markdown returns a Markdown table of a program's settings, for docs/SETTINGS.md.
func Markdown(program string, options Checker) string {
	var page strings.Builder
	fmt.Fprintf(&page, "## %s\n\n| flag | environment | default | meaning |\n|---|---|---|---|\n", program)
	visitOptions(newParser(program, options, &modes{}), func(o *flags.Option) {
		fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s |\n",
			o.LongNameWithNamespace(), o.EnvKeyWithNamespace(), defaultValue(o), o.Description)
	})
	return page.String()
}

func defaultValue(o *flags.Option) string {
	if len(o.Default) == 0 {
		return ""
	}
	return "`" + strings.Join(o.Default, ",") + "`"
}
