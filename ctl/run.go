// Package ctl is the operators' command line: it reads and changes the fleet
// configuration through the control replicas.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

// The exit codes, by kind of error. They are stable.
const (
	ExitOK              = 0
	ExitInternal        = 1 // an unexpected failure
	ExitUsage           = 2 // wrong arguments, or a file or change that is invalid
	ExitConflict        = 3 // the object changed in between: read it again
	ExitNotFound        = 4
	ExitUnauthenticated = 5
	ExitUnavailable     = 6 // nothing was changed: no replica or no leader answered
	ExitOutcomeUnknown  = 7 // the change may have been made: resend with the same operation id
)

var exitCodes = map[fault.Kind]int{
	fault.InvalidRequest:  ExitUsage,
	fault.KeyReused:       ExitConflict,
	fault.Conflict:        ExitConflict,
	fault.NotFound:        ExitNotFound,
	fault.Unauthenticated: ExitUnauthenticated,
	fault.NotLeader:       ExitUnavailable,
	fault.NotCurrent:      ExitUnavailable,
	fault.Overloaded:      ExitUnavailable,
	fault.OutcomeUnknown:  ExitOutcomeUnknown,
	fault.Timeout:         ExitOutcomeUnknown,
}

const exitCodeHelp = `Exit codes: 0 done, 1 unexpected failure, 2 wrong usage or invalid change, 3 conflict (read the object again), 4 not found, 5 wrong operator key, 6 control unavailable and nothing changed, 7 outcome unknown (resend with the same --operation-id).`

// Run parses the arguments, carries out the command and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	app := &app{out: out, errOut: errOut}
	parser := flags.NewNamedParser("apricotspokectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Changes and shows the configuration of the fleet.\n\n" + exitCodeHelp
	if _, err := parser.AddGroup("Connection", "", &app.options); err != nil {
		return app.fail(err)
	}
	app.register(parser)
	_, err := parser.ParseArgs(args)
	return app.fail(err)
}

func (a *app) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Fprintln(a.out, flagError.Message)
			return ExitOK
		}
		fmt.Fprintln(a.errOut, "apricotspokectl:", flagError.Message)
		return ExitUsage
	}
	a.printError(err)
	if code, ok := exitCodes[fault.KindOf(err)]; ok {
		return code
	}
	return ExitInternal
}
