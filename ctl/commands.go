package ctl

import (
	"crypto/rand"
	"fmt"
	"regexp"
	"strconv"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/jessevdk/go-flags"
)

// command adapts a function to go-flags.
type command func() error

// Execute runs the command; arguments beyond the named ones are refused.
func (c command) Execute(rest []string) error {
	if len(rest) > 0 {
		return fault.New(fault.InvalidRequest, "unexpected arguments %q", rest)
	}
	return c()
}

// leaf is a command with positional arguments and flags of its own.
type leaf[A any] struct {
	Args A `positional-args:"yes" required:"yes"`
	command
}

type nameArgument struct {
	Name string `positional-arg-name:"NAME"`
}

type versionFlag struct {
	Expected *uint64 `long:"expected-version" description:"Version that the change is meant for; the present one when left out"`
}

func (a *app) register(parser *flags.Parser) {
	a.registerContracts(group(parser, "contract", "Contracts of organisations"))
	a.registerDataCentres(group(parser, "data-centre", "Data centres in and out of service"))
	a.registerEndpoints(group(parser, "endpoint", "Endpoints in and out of service"))
	a.registerOrders(group(parser, "order", "Orders to endpoints"))
	a.registerMembers(group(parser, "member", "Replicas of the control group"))
	a.registerKey(group(parser, "key", "Keys of callers and operators"))
	add(parser.Command, "status", "Show who leads, the revision in force everywhere, and the endpoints", &struct{ command }{a.showStatus})
	a.registerWatch(parser.Command)
	a.registerStory(parser.Command)
	a.registerCauses(parser.Command)
}

func group(parser *flags.Parser, name, short string) *flags.Command {
	return add(parser.Command, name, short, &struct{}{})
}

// add panics on a wrong declaration, which any run of the program would show.
func add(parent *flags.Command, name, short string, data any) *flags.Command {
	c, err := parent.AddCommand(name, short, short+".", data)
	if err != nil {
		panic(err)
	}
	return c
}

// versionedID is the form of generated operation ids: the expected version
// leads, so that a resend under the same id is the same change.
var versionedID = regexp.MustCompile(`^v([0-9]{1,19})-`)

// expect settles the version that a change is meant for: the flag's, that of
// the operation id, or the one that current reads.
func (a *app) expect(flag *uint64, current func() (uint64, error)) (uint64, error) {
	version, err := a.expectedVersion(flag, current)
	if err == nil && a.options.OperationID == "" {
		a.options.OperationID = fmt.Sprintf("v%d-%s", version, rand.Text())
	}
	return version, err
}

func (a *app) expectedVersion(flag *uint64, current func() (uint64, error)) (uint64, error) {
	if flag != nil {
		return *flag, nil
	}
	if match := versionedID.FindStringSubmatch(a.options.OperationID); match != nil {
		return strconv.ParseUint(match[1], 10, 64)
	}
	return current()
}
