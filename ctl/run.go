// Package ctl implements apricotspokectl, the command line of operators. It reads
// and changes the fleet configuration through the control replicas, the Raft
// group that stores it, and analyses the logs of entries.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

// The exit codes, by kind of error. Scripts depend on them; they don't change.
const (
	ExitOK              = 0
	ExitInternal        = 1 // an unexpected failure
	ExitUsage           = 2 // invalid arguments, file or change
	ExitConflict        = 3 // the object has changed since it was read
	ExitNotFound        = 4
	ExitUnauthenticated = 5
	ExitUnavailable     = 6 // no replica or no leader answered; nothing was changed
	ExitOutcomeUnknown  = 7 // the change may have been made; resend it with the same operation ID
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

// Run parses the arguments, runs the command and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	app := &app{out: out, errOut: errOut}
	parser := flags.NewNamedParser("apricotspokectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Changes and shows the configuration of the fleet.\n\n" + exitCodeHelp
	if _, err := parser.AddGroup("Connection", "", &app.options); err != nil {
		return app.fail(err)
	}
	app.registerCommands(parser)
	_, err := parser.ParseArgs(args)
	return app.fail(err)
}

// fail prints err, if any, and returns its exit code.
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
