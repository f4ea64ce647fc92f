// Package settings reads a program's static settings from flags and
// environment variables, and checks them before the program starts its work.
package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Exit statuses of Parse.
const (
	exitOK              = 0
	exitInvalidSettings = 2
)

// Checker is a program's options with validation rules beyond the types of the fields.
type Checker interface {
	// Check returns all errors in the settings, so that they are reported together.
	Check() []error
}

// modes are the flags that every program has in addition to its own.
type modes struct {
	Check bool `long:"check" description:"Check the settings and exit: status 0 if they are valid, 2 if not"`
	Print bool `long:"print-settings" description:"Print each setting with its source, secrets hidden, and exit"`
}

// Parse fills options from the command line and the environment. It exits with
// status 2 if a setting is invalid, and with 0 after --help, --check and
// --print-settings.
func Parse(program string, options Checker) {
	outcome := parse(program, options, os.Args[1:], os.Stdout, os.Stderr)
	if outcome.exit {
		os.Exit(outcome.status)
	}
}

// outcome says whether the process exits after parsing, and with which status.
type outcome struct {
	exit   bool
	status int
}

func parse(program string, options Checker, args []string, stdout, stderr io.Writer) outcome {
	var mode modes
	parser := newParser(program, options, &mode)
	if _, err := parser.ParseArgs(args); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return outcome{exit: true, status: exitOK}
		}
		return reportErrors(program, stderr, err)
	}
	if mode.Print {
		printSettings(parser, stdout)
	}
	if errs := options.Check(); len(errs) > 0 {
		return reportErrors(program, stderr, errs...)
	}
	if mode.Check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", program)
	}
	return outcome{exit: mode.Check || mode.Print, status: exitOK}
}

func newParser(program string, options Checker, mode *modes) *flags.Parser {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	addGroup(parser, "Settings", options)
	addGroup(parser, "Modes", mode)
	return parser
}

func addGroup(parser *flags.Parser, name string, group any) {
	if _, err := parser.AddGroup(name, "", group); err != nil {
		panic(fmt.Sprintf("settings: malformed options: %v", err))
	}
}

func reportErrors(program string, stderr io.Writer, errs ...error) outcome {
	for _, err := range errs {
		fmt.Fprintf(stderr, "%s: settings: %s\n", program, err)
	}
	return outcome{exit: true, status: exitInvalidSettings}
}

// SplitList splits each value of a repeated flag at commas and drops empty parts,
// so that a flag accepts the same list as its environment variable.
func SplitList(values []string) []string {
	var parts []string
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			if part = strings.TrimSpace(part); part != "" {
				parts = append(parts, part)
			}
		}
	}
	return parts
}
