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
	callTimeout    = 4 * time.Second // for one attempt at one address, including connectTimeout
	connectTimeout = time.Second     // until the connection is established
	// maxRounds is how often a call goes through all addresses before it fails. The
	// pauses alone add up to 3.5 s; more rounds outlast a longer time without a
	// leader, but the error comes later.
	maxRounds  = 8
	roundPause = 500 * time.Millisecond // between two rounds
)

type options struct {
	Control     []string `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC addresses of the control replicas, tried in turn; repeat for each"`
	Key         string   `long:"key" env:"APRICOTSPOKE_OPERATOR_KEY" description:"Operator key"`
	Output      string   `long:"output" env:"APRICOTSPOKE_OUTPUT" choice:"table" choice:"json" default:"table" description:"Output format"`
	OperationID string   `long:"operation-id" env:"APRICOTSPOKE_OPERATION_ID" description:"ID of the change; a resend with the same ID has no second effect"`
	DryRun      bool     `long:"dry-run" env:"APRICOTSPOKE_DRY_RUN" description:"Check the change without making it"`

	Links link.Options `group:"Links"`
}

// app runs one command.
type app struct {
	options options
	out     io.Writer
	errOut  io.Writer
	resent  bool // a call whose outcome is unknown was sent again
}

// callAny sends a call to the addresses in turn until one answers. Sending again
// is safe: a read changes nothing, and a change has an operation ID.
func callAny[R any](a *app, send func(ctx context.Context, client wire.OperatorClient) (R, error)) (R, error) {
	return callAnyConn(a, func(ctx context.Context, conn grpc.ClientConnInterface) (R, error) {
		return send(ctx, wire.NewOperatorClient(conn))
	})
}

// callAnyConn is callAny for the services other than wire.Operator.
func callAnyConn[R any](a *app, send func(ctx context.Context, conn grpc.ClientConnInterface) (R, error)) (R, error) {
	var none R
	addresses := settings.SplitList(a.options.Control)
	if len(addresses) == 0 {
		return none, fault.New(fault.InvalidRequest, "no control address is set; use --control or APRICOTSPOKE_CONTROL")
	}
	var last error
	unknown := false
	for round := range maxRounds {
		if round > 0 {
			time.Sleep(roundPause)
		}
		for _, address := range addresses {
			response, err := callAddress(a, address, send)
			if err == nil {
				return response, nil
			}
			if !retryable(err) {
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

// callAddress sends a call to one address.
func callAddress[R any](a *app, address string, send func(ctx context.Context, conn grpc.ClientConnInterface) (R, error)) (R, error) {
	var none R
	security, err := a.options.Links.Security()
	if err != nil {
		return none, err
	}
	conn, err := link.Dial(address, security)
	if err != nil {
		return none, fault.Wrap(err, fault.InvalidRequest, "control address %q is invalid", address)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if !awaitConnected(ctx, conn) {
		return none, fault.New(fault.NotLeader, "control replica %s cannot be reached", address)
	}
	response, err := send(ctx, conn)
	if err == nil {
		return response, nil
	}
	return none, callError(address, err)
}

// awaitConnected reports whether the connection was established. If it was not, no
// call has been sent, so its outcome is not unknown.
func awaitConnected(ctx context.Context, conn *grpc.ClientConn) bool {
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

// callError returns the typed failure in err. Without one, the call may have
// reached the replica and its outcome is unknown.
func callError(address string, err error) error {
	if typed := fault.FromStatus(err); typed != nil {
		return typed
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "control replica %s did not answer", address)
}

// retryable reports whether another replica, or the same one later, may answer.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NotCurrent, fault.OutcomeUnknown, fault.Overloaded:
		return true
	}
	return false
}

// apply sends a change and returns the response. Without --operation-id it
// generates an ID, so that a resend has no second effect.
func (a *app) apply(change *wire.Change) (*wire.ApplyResponse, error) {
	generatedID := a.options.OperationID == ""
	if generatedID {
		a.options.OperationID = rand.Text()
	}
	response, err := callAny(a, func(ctx context.Context, client wire.OperatorClient) (*wire.ApplyResponse, error) {
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
		fmt.Fprintf(a.errOut, "The change may have been made. Run the same command again with --operation-id %s\n", a.options.OperationID)
	}
	if err == nil && (generatedID || a.resent) {
		response.RepeatedOperation = false // the change was made by an earlier call of this command
	}
	return response, err
}

// query is callAny for reads. A lost answer to a read is a failure of the
// replica, not an unknown outcome.
func query[R any](a *app, send func(ctx context.Context, client wire.OperatorClient) (R, error)) (R, error) {
	response, err := callAny(a, send)
	if fault.KindOf(err) == fault.OutcomeUnknown && err != nil {
		err = fault.Wrap(err, fault.NotCurrent, "no control replica answered in time")
	}
	return response, err
}

// applyAndPrint sends a change and prints its result.
func (a *app) applyAndPrint(subject string, change *wire.Change) error {
	response, err := a.apply(change)
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(response)
	}
	switch {
	case a.options.DryRun:
		fmt.Fprintf(a.out, "%s: valid, nothing changed (dry run)\n", subject)
	case response.RepeatedOperation:
		fmt.Fprintf(a.out, "%s: was done before, at revision %d\n", subject, response.Revision)
	case response.OrderNumber > 0:
		fmt.Fprintf(a.out, "%s: issued as number %d\n", subject, response.OrderNumber)
	default:
		fmt.Fprintf(a.out, "%s: done at revision %d\n", subject, response.Revision)
	}
	return nil
}

// readConfig reads the fleet configuration.
func (a *app) readConfig() (*wire.FleetConfig, error) {
	response, err := query(a, func(ctx context.Context, client wire.OperatorClient) (*wire.ReadResponse, error) {
		return client.Read(ctx, &wire.ReadRequest{OperatorKey: a.options.Key})
	})
	return response.GetConfig(), err
}

// readStatus reads the state of the control group, the processes and the gates.
func (a *app) readStatus() (*wire.StatusResponse, error) {
	return query(a, func(ctx context.Context, client wire.OperatorClient) (*wire.StatusResponse, error) {
		return client.Status(ctx, &wire.StatusRequest{OperatorKey: a.options.Key})
	})
}

// printJSON prints a message with the field names of the .proto file.
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

// jsonError is an error as --output json prints it.
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
