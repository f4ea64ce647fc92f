package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/contract"
	"github.com/jessevdk/go-flags"
)

const watchedDeltas = 50 // latest revisions that watch reads at each poll

type fileArgument struct {
	File string `positional-arg-name:"FILE"`
}

func (a *app) registerContracts(parent *flags.Command) {
	put := &struct {
		versionFlag
		positionalCommand[fileArgument]
	}{}
	put.command = func() error { return a.putContract(put.Args.File, put.Expected) }
	addCommand(parent, "put", "Create or replace a contract from a file", put)
	get := &positionalCommand[nameArgument]{}
	get.command = func() error { return a.getContract(get.Args.Name) }
	addCommand(parent, "get", "Show a contract", get)
	addCommand(parent, "list", "List the contracts", &struct{ command }{a.listContracts})
	remove := &struct {
		versionFlag
		positionalCommand[nameArgument]
	}{}
	remove.command = func() error { return a.deleteContract(remove.Args.Name, remove.Expected) }
	addCommand(parent, "delete", "Delete a contract", remove)
	history := &positionalCommand[nameArgument]{}
	history.command = func() error { return a.contractHistory(history.Args.Name) }
	addCommand(parent, "history", "Show the changes of a contract", history)
}

// contractVersion returns a function that reads the version of a contract, 0 when
// there is none.
func (a *app) contractVersion(organisation string) func() (uint64, error) {
	return func() (uint64, error) {
		have, err := a.contract(organisation)
		if fault.KindOf(err) == fault.NotFound {
			return 0, nil
		}
		return have.GetVersion(), err
	}
}

func (a *app) contract(organisation string) (*wire.Contract, error) {
	config, err := a.readConfig()
	if err != nil {
		return nil, err
	}
	for _, c := range config.GetContracts() {
		if c.Organisation == organisation {
			return c, nil
		}
	}
	return nil, fault.New(fault.NotFound, "organisation %q has no contract", organisation)
}

func (a *app) putContract(file string, expected *uint64) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "contract file cannot be read")
	}
	c, err := contract.Parse(data)
	if err != nil {
		return err
	}
	version, err := a.resolveVersion(expected, a.contractVersion(c.Organisation))
	if err != nil {
		return err
	}
	return a.applyAndPrint("contract "+c.Organisation, &wire.Change{
		ExpectedVersion: version,
		Of:              &wire.Change_PutContract{PutContract: c},
	})
}

func (a *app) deleteContract(organisation string, expected *uint64) error {
	version, err := a.resolveVersion(expected, a.contractVersion(organisation))
	if err != nil {
		return err
	}
	return a.applyAndPrint("contract "+organisation+" deleted", &wire.Change{
		ExpectedVersion: version,
		Of:              &wire.Change_DeleteContract{DeleteContract: organisation},
	})
}

func (a *app) getContract(organisation string) error {
	c, err := a.contract(organisation)
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(c)
	}
	t := newTable(a.out, "FIELD", "VALUE")
	t.row("organisation", c.Organisation)
	t.row("version", c.Version)
	t.row("keys", len(c.KeyHashes))
	t.row("models", strings.Join(c.Models, ", "))
	t.row("services", strings.Join(c.Services, ", "))
	t.row("requests_per_second", c.RequestsPerSecond)
	t.row("request_burst", c.RequestBurst)
	t.row("tokens_per_second", c.TokensPerSecond)
	t.row("token_burst", c.TokenBurst)
	t.row("concurrency", c.Concurrency)
	t.row("max_prompt_tokens", c.MaxPromptTokens)
	t.row("max_output_tokens", c.MaxOutputTokens)
	t.row("priority", c.Priority)
	t.row("share", c.Share)
	for _, band := range c.Deadlines {
		t.row("deadline", deadlineText(band))
	}
	return t.flush()
}

func (a *app) listContracts() error {
	config, err := a.readConfig()
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(&wire.FleetConfig{Revision: config.Revision, Contracts: config.Contracts})
	}
	t := newTable(a.out, "ORGANISATION", "VERSION", "REQUESTS/S", "TOKENS/S", "CONCURRENCY", "MODELS", "SERVICES")
	for _, c := range config.Contracts {
		t.row(c.Organisation, c.Version, c.RequestsPerSecond, c.TokensPerSecond, c.Concurrency,
			strings.Join(c.Models, ","), strings.Join(c.Services, ","))
	}
	return t.flush()
}

func (a *app) contractHistory(organisation string) error {
	response, err := a.history(organisation, 0)
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(response)
	}
	t := newTable(a.out, "REVISION", "CHANGE", "REQUESTS/S", "TOKENS/S", "CONCURRENCY")
	for _, delta := range response.Deltas {
		for _, c := range delta.Contracts {
			if c.Organisation != organisation {
				continue
			}
			if c.Deleted {
				t.row(delta.Revision, "deleted")
				continue
			}
			t.row(delta.Revision, "put", c.RequestsPerSecond, c.TokensPerSecond, c.Concurrency)
		}
	}
	return t.flush()
}

func (a *app) history(organisation string, limit uint32) (*wire.HistoryResponse, error) {
	return query(a, func(ctx context.Context, client wire.OperatorClient) (*wire.HistoryResponse, error) {
		return client.History(ctx, &wire.HistoryRequest{OperatorKey: a.options.Key, Organisation: organisation, Limit: limit})
	})
}
