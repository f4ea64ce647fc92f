// Package settings reads a program's static settings from flags and
// environment variables and checks them before anything starts.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Checker is implemented by options that have rules beyond their types.
type Checker interface {
	// Check returns every fault, so that all are told at once.
	Check() []error
}

// Parse fills options from the command line and the environment. It ends the
// process with status 2 when a setting is wrong and with 0 after --help.
func Parse(program string, options Checker) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", options); err != nil {
		panic(err)
	}
	if _, err := parser.Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			os.Exit(0)
		}
		exit(program, err)
	}
	if faults := options.Check(); len(faults) > 0 {
		exit(program, faults...)
	}
}

func exit(program string, faults ...error) {
	for _, fault := range faults {
		fmt.Fprintf(os.Stderr, "%s: settings: %s\n", program, fault)
	}
	os.Exit(2)
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
