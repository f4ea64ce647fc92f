package ctl

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/jessevdk/go-flags"
)

type orderArguments struct {
	Endpoint string `positional-arg-name:"ENDPOINT"`
	Argument string `positional-arg-name:"ARGUMENT"`
}

func (a *app) registerOrders(parent *flags.Command) {
	a.order(parent, "load-model", "Load a model", wire.OrderKind_ORDER_KIND_LOAD_MODEL)
	a.order(parent, "load-adapter", "Load an adapter", wire.OrderKind_ORDER_KIND_LOAD_ADAPTER)
	a.order(parent, "load-version", "Load a version of a model", wire.OrderKind_ORDER_KIND_LOAD_VERSION)
	a.order(parent, "change-role", "Change the role of an endpoint", wire.OrderKind_ORDER_KIND_CHANGE_ROLE)
	addCommand(parent, "list", "List the orders and their results", &struct{ command }{a.listOrders})
}

func (a *app) order(parent *flags.Command, name, short string, kind wire.OrderKind) {
	data := &positionalCommand[orderArguments]{}
	data.command = func() error {
		order := &wire.Order{Endpoint: data.Args.Endpoint, Kind: kind, Argument: data.Args.Argument}
		return a.applyAndPrint(fmt.Sprintf("order %s to %s", name, order.Endpoint), &wire.Change{Of: &wire.Change_IssueOrder{IssueOrder: order}})
	}
	addCommand(parent, name, short, data)
}

func (a *app) listOrders() error {
	config, err := a.readConfig()
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(&wire.FleetConfig{Revision: config.Revision, Orders: config.Orders})
	}
	t := newTable(a.out, "NUMBER", "ENDPOINT", "KIND", "ARGUMENT", "STATE")
	for _, o := range config.Orders {
		t.row(o.Number, o.Endpoint, orderText(o.Kind), o.Argument, orderState(o))
	}
	return t.flush()
}

type replaceArguments struct {
	Old     string `positional-arg-name:"OLD-ID" required:"yes"`
	New     string `positional-arg-name:"NEW-ID"`
	Address string `positional-arg-name:"NEW-ADDRESS"`
}

func (a *app) registerMembers(parent *flags.Command) {
	addCommand(parent, "list", "List the replicas", &struct{ command }{a.listMembers})
	replace := &struct {
		Args replaceArguments `positional-args:"yes"`
		command
	}{}
	replace.command = func() error { return a.replaceMember(replace.Args) }
	addCommand(parent, "replace", "Remove a lost replica; name the new one unless it has joined by itself", replace)
}

func (a *app) replaceMember(args replaceArguments) error {
	change := &wire.MemberChange{RemoveId: args.Old, AddId: args.New, AddAddress: args.Address}
	return a.applyAndPrint("replica "+args.Old+" replaced", &wire.Change{Of: &wire.Change_ChangeMember{ChangeMember: change}})
}

func (a *app) listMembers() error {
	status, err := a.readStatus()
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(&wire.StatusResponse{LeaderId: status.LeaderId, LeaderAddress: status.LeaderAddress, Term: status.Term, Members: status.Members})
	}
	t := newTable(a.out, "REPLICA", "ADDRESS", "STATE", "LEADER")
	for _, m := range status.Members {
		t.row(m.Id, m.Address, memberText(m), yesNo(m.Id == status.LeaderId))
	}
	return t.flush()
}

func (a *app) registerKey(parent *flags.Command) {
	hash := &positionalCommand[struct {
		Key string `positional-arg-name:"KEY"`
	}]{}
	hash.command = func() error {
		sum := sha256.Sum256([]byte(hash.Args.Key))
		fmt.Fprintln(a.out, hex.EncodeToString(sum[:]))
		return nil
	}
	addCommand(parent, "hash", "Print the SHA-256 of a key, for a contract file or --operator-key-hash", hash)
}
