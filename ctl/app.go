package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/transport/link"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	callTimeout    = 4 * time.Second // of one address
	connectTimeout = time.Second
	rounds         = 8 // over all addresses, while no leader answers
	roundPause     = 500 * time.Millisecond
)

type options struct {
	Control     []string `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC addresses of the control replicas, tried in turn; repeat for each"`
	Key         string   `long:"key" env:"APRICOTSPOKE_OPERATOR_KEY" description:"Operators' key"`
	Output      string   `long:"output" env:"APRICOTSPOKE_OUTPUT" choice:"table" choice:"json" default:"table" description:"Form of what is printed"`
	OperationID string   `long:"operation-id" env:"APRICOTSPOKE_OPERATION_ID" description:"Identity of the change; a resend under the same one has no second effect"`
	DryRun      bool     `long:"dry-run" env:"APRICOTSPOKE_DRY_RUN" description:"Check the change without making it"`

	Links link.Options `group:"Links"`
}

// app carries out one command.
type app struct {
	options options
	out     io.Writer
	errOut  io.Writer
	resent  bool // a call that may have been carried out was sent again
}

// call tries the addresses in turn until one answers. A read or a change with
// an operation id is safe to send again.
func call[R any](a *app, send func(ctx context.Context, client wire.OperatorClient) (R, error)) (R, error) {
	var none R
	addresses := settings.SplitList(a.options.Control)
	if len(addresses) == 0 {
		return none, fault.New(fault.InvalidRequest, "no control address is given; set --control or APRICOTSPOKE_CONTROL")
	}
	var last error
	unknown := false
	for round := range rounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, address := range addresses {
			response, err := try(a, address, send)
			if err == nil {
				return response, nil
			}
			if !mayTryElsewhere(err) {
				return none, err
			}
			unknown = unknown || fault.KindOf(err) == fault.OutcomeUnknown
			a.resent = unknown
			last = err
		}
	}
	if unknown {
		return none, fault.Wrap(last, fault.OutcomeUnknown, "no control replica confirmed the call")
	}
	return none, last
}

func try[R any](a *app, address string, send func(ctx context.Context, client wire.OperatorClient) (R, error)) (R, error) {
	var none R
	security, err := a.options.Links.Security()
	if err != nil {
		return none, err
	}
	conn, err := link.Dial(address, security)
	if err != nil {
		return none, fault.Wrap(err, fault.InvalidRequest, "control address %q is wrong", address)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if !connect(ctx, conn) {
		return none, fault.New(fault.NotLeader, "control %s cannot be reached", address)
	}
	response, err := send(ctx, wire.NewOperatorClient(conn))
	if err == nil {
		return response, nil
	}
	return none, callFault(address, err)
}

// connect reports whether the connection came about. If not, no call was sent.
func connect(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn.Connect()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// callFault keeps a typed failure; after any other the call may have arrived.
func callFault(address string, err error) error {
	if typed := fault.FromStatus(err); typed != nil {
		return typed
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "control %s did not answer", address)
}

func mayTryElsewhere(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NotCurrent, fault.OutcomeUnknown, fault.Overloaded:
		return true
	}
	return false
}

// apply makes a change and returns its response.
func (a *app) apply(change *wire.Change) (*wire.ApplyResponse, error) {
	isNew := a.options.OperationID == ""
	if isNew {
		a.options.OperationID = rand.Text()
	}
	response, err := call(a, func(ctx context.Context, client wire.OperatorClient) (*wire.ApplyResponse, error) {
		response, err := client.Apply(ctx, &wire.ApplyRequest{
			OperationId: a.options.OperationID,
			OperatorKey: a.options.Key,
			DryRun:      a.options.DryRun,
			Change:      change,
		})
		if err != nil {
			return nil, err
		}
		return response, fault.FromWire(response.Failure)
	})
	if fault.KindOf(err) == fault.OutcomeUnknown && err != nil {
		fmt.Fprintf(a.errOut, "The change may have been made. Repeat the same command with --operation-id %s\n", a.options.OperationID)
	}
	if err == nil && (isNew || a.resent) {
		response.RepeatedOperation = false // an earlier sending of this very command did it
	}
	return response, err
}

// query is call for what changes nothing: a lost answer leaves nothing unknown.
func query[R any](a *app, send func(ctx context.Context, client wire.OperatorClient) (R, error)) (R, error) {
	response, err := call(a, send)
	if fault.KindOf(err) == fault.OutcomeUnknown && err != nil {
		err = fault.Wrap(err, fault.NotCurrent, "no control replica answered in time")
	}
	return response, err
}

// change makes a change and tells its result.
func (a *app) change(what string, change *wire.Change) error {
	response, err := a.apply(change)
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(response)
	}
	switch {
	case a.options.DryRun:
		fmt.Fprintf(a.out, "%s: valid, nothing changed (dry run)\n", what)
	case response.RepeatedOperation:
		fmt.Fprintf(a.out, "%s: was done before, at revision %d\n", what, response.Revision)
	case response.OrderNumber > 0:
		fmt.Fprintf(a.out, "%s: issued as number %d\n", what, response.OrderNumber)
	default:
		fmt.Fprintf(a.out, "%s: done at revision %d\n", what, response.Revision)
	}
	return nil
}

func (a *app) read() (*wire.FleetConfig, error) {
	response, err := query(a, func(ctx context.Context, client wire.OperatorClient) (*wire.ReadResponse, error) {
		return client.Read(ctx, &wire.ReadRequest{OperatorKey: a.options.Key})
	})
	return response.GetConfig(), err
}

func (a *app) status() (*wire.StatusResponse, error) {
	return query(a, func(ctx context.Context, client wire.OperatorClient) (*wire.StatusResponse, error) {
		return client.Status(ctx, &wire.StatusRequest{OperatorKey: a.options.Key})
	})
}

func (a *app) printJSON(message proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return err
	}
	var indented any
	if err := json.Unmarshal(data, &indented); err != nil {
		return err
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(indented)
}

type jsonError struct {
	Kind        fault.Kind `json:"kind"`
	Message     string     `json:"message"`
	Remedy      string     `json:"remedy"`
	OperationID string     `json:"operation_id,omitempty"`
}

func (a *app) printError(err error) {
	e := fault.From(err)
	if a.options.Output != "json" {
		fmt.Fprintln(a.errOut, "apricotspokectl:", e)
		return
	}
	_ = json.NewEncoder(a.errOut).Encode(jsonError{e.Kind, e.Message, e.Kind.Remedy(), a.options.OperationID})
}
