// Package settings reads a program's static settings from flags and
// environment variables and checks them before anything starts.
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
	exitOK       = 0
	exitSettings = 2
)

// Checker is implemented by options that have rules beyond their types.
type Checker interface {
	// Check returns every fault, so that all are told at once.
	Check() []error
}

// modes are the flags that every program has beside its own.
type modes struct {
	Check bool `long:"check" description:"Check the settings and end: status 0 when they are valid, 2 when not"`
	Print bool `long:"print-settings" description:"Print each setting with its source, secrets hidden, and end"`
}

// Parse fills options from the command line and the environment. It ends the
// process with status 2 when a setting is wrong, and with 0 after --help,
// --check and --print-settings.
func Parse(program string, options Checker) {
	outcome := parse(program, options, os.Args[1:], os.Stdout, os.Stderr)
	if outcome.end {
		os.Exit(outcome.status)
	}
}

// outcome says whether the process ends after parsing, and with what status.
type outcome struct {
	end    bool
	status int
}

func parse(program string, options Checker, args []string, stdout, stderr io.Writer) outcome {
	var mode modes
	parser := newParser(program, options, &mode)
	if _, err := parser.ParseArgs(args); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return outcome{end: true, status: exitOK}
		}
		return refuse(program, stderr, err)
	}
	if mode.Print {
		printSettings(parser, stdout)
	}
	if faults := options.Check(); len(faults) > 0 {
		return refuse(program, stderr, faults...)
	}
	if mode.Check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", program)
	}
	return outcome{end: mode.Check || mode.Print, status: exitOK}
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

func refuse(program string, stderr io.Writer, faults ...error) outcome {
	for _, fault := range faults {
		fmt.Fprintf(stderr, "%s: settings: %s\n", program, fault)
	}
	return outcome{end: true, status: exitSettings}
}

// SplitList splits each value of a repeated flag at commas and drops empty parts,
// so that a flag takes what its environment variable takes.
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
