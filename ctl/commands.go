package ctl

import (
	"crypto/rand"
	"fmt"
	"regexp"
	"strconv"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

// command adapts a function to the flags.Commander interface.
type command func() error

// Execute implements flags.Commander. It rejects surplus arguments.
func (c command) Execute(extra []string) error {
	if len(extra) > 0 {
		return fault.New(fault.InvalidRequest, "unexpected arguments %q", extra)
	}
	return c()
}

// positionalCommand is a command with the positional arguments A.
type positionalCommand[A any] struct {
	Args A `positional-args:"yes" required:"yes"`
	command
}

type nameArgument struct {
	Name string `positional-arg-name:"NAME"`
}

type versionFlag struct {
	Expected *uint64 `long:"expected-version" description:"Version of the object that the change expects; the present one if not set"`
}

// registerCommands adds all commands to the parser.
func (a *app) registerCommands(parser *flags.Parser) {
	a.registerContracts(addGroup(parser, "contract", "Contracts of organisations"))
	a.registerDataCentres(addGroup(parser, "data-centre", "Data centres in and out of service"))
	a.registerEndpoints(addGroup(parser, "endpoint", "Endpoints in and out of service"))
	a.registerOrders(addGroup(parser, "order", "Orders to endpoints"))
	a.registerMembers(addGroup(parser, "member", "Replicas of the control group"))
	a.registerQuarantine(addGroup(parser, "quarantine", "Parts of prompts that end endpoints"))
	a.registerKey(addGroup(parser, "key", "Keys of callers and operators"))
	addCommand(parser.Command, "status", "Show the leader, the replicas, the revision of each process, and the endpoints", &struct{ command }{a.showStatus})
	a.registerWatch(parser.Command)
	a.registerStory(parser.Command)
	a.registerCauses(parser.Command)
	a.registerExplain(parser.Command)
}

// addGroup adds a command that only has subcommands.
func addGroup(parser *flags.Parser, name, short string) *flags.Command {
	return addCommand(parser.Command, name, short, &struct{}{})
}

// addCommand adds a command. It panics on an invalid declaration, which every run
// of the program would meet.
func addCommand(parent *flags.Command, name, short string, data any) *flags.Command {
	c, err := parent.AddCommand(name, short, short+".", data)
	if err != nil {
		panic(err)
	}
	return c
}

// versionInOperationID matches generated operation IDs. They begin with the
// expected version, so that a resend with the same ID is the same change.
var versionInOperationID = regexp.MustCompile(`^v([0-9]{1,19})-`)

// resolveVersion returns the version of the object that a change expects, and
// puts it into the operation ID if none is set.
func (a *app) resolveVersion(flag *uint64, current func() (uint64, error)) (uint64, error) {
	version, err := a.expectedVersion(flag, current)
	if err == nil && a.options.OperationID == "" {
		a.options.OperationID = fmt.Sprintf("v%d-%s", version, rand.Text())
	}
	return version, err
}

// expectedVersion returns the version of --expected-version, else that of a
// generated operation ID, else the present one, which current reads.
func (a *app) expectedVersion(flag *uint64, current func() (uint64, error)) (uint64, error) {
	if flag != nil {
		return *flag, nil
	}
	if match := versionInOperationID.FindStringSubmatch(a.options.OperationID); match != nil {
		return strconv.ParseUint(match[1], 10, 64)
	}
	return current()
}
