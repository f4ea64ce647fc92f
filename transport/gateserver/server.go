// Package gateserver is the gRPC server of a gate, which admits and queues the attempts of
// one endpoint. Entries call it.
package gateserver

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/apricotspoke/apricotspoke/coordination/gate"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Server implements wire.GateServer for one gate.
type Server struct {
	wire.UnimplementedGateServer
	gate *gate.Gate
}

// New returns a server for the gate.
func New(g *gate.Gate) *Server { return &Server{gate: g} }

// Attempt receives one attempt and streams its answer, or a refusal.
func (s *Server) Attempt(stream wire.Gate_AttemptServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if open == nil {
		return status.Error(codes.InvalidArgument, "the first message must open the attempt")
	}
	attempt, refusal := s.gate.Admit(open)
	if refusal != nil {
		return stream.Send(refusedMessage(refusal))
	}
	attempt.AddReader()
	defer attempt.RemoveReader()
	body, err := receiveBody(stream, open.BodyBytes)
	if err != nil {
		attempt.Abort(fault.New(fault.Cancelled, "the request body was not received completely"))
		return err
	}
	position, cold := attempt.Submit(body)
	accepted := &wire.Accepted{Position: uint32(position), Cold: cold}
	if err := stream.Send(&wire.AttemptDown{Of: &wire.AttemptDown_Accepted{Accepted: accepted}}); err != nil {
		return err
	}
	go receiveSignals(stream, attempt)
	return sendAnswer(stream.Context(), attempt, 1, stream.Send)
}

// refusedMessage returns the message that refuses an attempt.
func refusedMessage(refusal *fault.Error) *wire.AttemptDown {
	return &wire.AttemptDown{Sequence: 1, Of: &wire.AttemptDown_Refused{Refused: &wire.Refused{Failure: fault.ToWire(refusal)}}}
}

var errBodyLength = status.Error(codes.InvalidArgument, "the length of the body differs from body_bytes")

// receiveBody receives the body, which must have exactly size bytes. Gate.Admit has limited
// the size.
func receiveBody(stream wire.Gate_AttemptServer, size uint64) ([]byte, error) {
	body := make([]byte, 0, size)
	for {
		up, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		switch {
		case up.GetCancel():
			return nil, status.Error(codes.Canceled, "cancelled")
		case up.GetBodyEnd():
			if uint64(len(body)) != size {
				return nil, errBodyLength
			}
			return body, nil
		}
		if uint64(len(body)+len(up.GetBody())) > size {
			return nil, errBodyLength
		}
		body = append(body, up.GetBody()...)
	}
}

// receiveSignals receives acknowledgements and cancellations until the stream ends.
func receiveSignals(stream wire.Gate_AttemptServer, attempt *gate.Attempt) {
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		if up.GetCancel() {
			attempt.Cancel()
		}
		if sequence := up.GetAcknowledged(); sequence > 0 {
			attempt.Acknowledge(sequence)
		}
	}
}

// sendAnswer sends the messages of an attempt, from a sequence number, until its end. It
// returns NotFound when the gate no longer keeps the messages. The end of ctx gives NotFound
// too, but the caller's stream has ended then.
func sendAnswer(ctx context.Context, attempt *gate.Attempt, from uint64, send func(*wire.AttemptDown) error) error {
	for {
		messages, done, err := attempt.Read(ctx, from)
		if err != nil {
			return status.Error(codes.NotFound, err.Error())
		}
		if done {
			return nil
		}
		for _, m := range messages {
			if err := send(m); err != nil {
				return err
			}
			from = m.Sequence + 1
		}
	}
}

// Resume sends an answer again from a sequence number. All messages before it count as
// acknowledged. NotFound also stands for a gate that was restarted, which keeps no answers
// of the earlier instance.
func (s *Server) Resume(request *wire.ResumeRequest, stream wire.Gate_ResumeServer) error {
	attempt, err := s.gate.FindAttempt(request)
	if err != nil {
		return status.Error(codes.NotFound, err.Error())
	}
	attempt.AddReader()
	defer attempt.RemoveReader()
	from := max(request.FromSequence, 1)
	attempt.Acknowledge(from - 1)
	return sendAnswer(stream.Context(), attempt, from, stream.Send)
}

// Cancel cancels an attempt. It succeeds for an unknown one too.
func (s *Server) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelResponse, error) {
	s.gate.Cancel(request.Attempt)
	return &wire.CancelResponse{}, nil
}

// Inquire returns the state of an attempt.
func (s *Server) Inquire(_ context.Context, request *wire.InquireRequest) (*wire.InquireResponse, error) {
	return s.gate.Inquire(request), nil
}

// Beat returns each heartbeat message at once.
func (s *Server) Beat(stream wire.Gate_BeatServer) error {
	for {
		beat, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := stream.Send(beat); err != nil {
			return err
		}
	}
}

// Reserve makes or renews the reservation of a group. A group is the set of endpoints that
// share a prompt too long for one.
func (s *Server) Reserve(_ context.Context, request *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	return s.gate.Reserve(request), nil
}

// Release ends the reservation of a group.
func (s *Server) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	s.gate.Release(ctx, request.Reservation)
	return &wire.ReleaseResponse{}, nil
}
