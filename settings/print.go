package settings

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
)

// secretTag marks an option whose value is never printed.
const secretTag = "secret"

// printSettings writes a line for each setting: name, value, source.
func printSettings(parser *flags.Parser, w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "SETTING\tVALUE\tSOURCE")
	each(parser, func(o *flags.Option) {
		fmt.Fprintf(table, "--%s\t%s\t%s\n", o.LongNameWithNamespace(), shown(o), source(o))
	})
}

func each(parser *flags.Parser, visit func(*flags.Option)) {
	for _, group := range parser.Groups() {
		eachInGroup(group, visit)
	}
}

func eachInGroup(group *flags.Group, visit func(*flags.Option)) {
	if group.ShortDescription == "Modes" || group.ShortDescription == "Help Options" {
		return
	}
	for _, option := range group.Options() {
		visit(option)
	}
	for _, inner := range group.Groups() {
		eachInGroup(inner, visit)
	}
}

func secret(o *flags.Option) bool { return o.Field().Tag.Get(secretTag) != "" }

func shown(o *flags.Option) string {
	value := fmt.Sprint(o.Value())
	if secret(o) && value != "" && value != "[]" {
		return "(hidden)"
	}
	return value
}

func source(o *flags.Option) string {
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

// Markdown describes every setting of a program as a table, for docs/SETTINGS.md.
func Markdown(program string, options Checker) string {
	var page strings.Builder
	fmt.Fprintf(&page, "## %s\n\n| flag | environment | default | meaning |\n|---|---|---|---|\n", program)
	each(newParser(program, options, &modes{}), func(o *flags.Option) {
		fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s |\n",
			o.LongNameWithNamespace(), o.EnvKeyWithNamespace(), defaults(o), o.Description)
	})
	return page.String()
}

func defaults(o *flags.Option) string {
	if len(o.Default) == 0 {
		return ""
	}
	return "`" + strings.Join(o.Default, ",") + "`"
}
