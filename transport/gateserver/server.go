// Package gateserver serves a gate to the entries over gRPC.
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

// Server answers the calls of entries.
type Server struct {
	wire.UnimplementedGateServer
	gate *gate.Gate
}

// New returns a server of the gate.
func New(g *gate.Gate) *Server { return &Server{gate: g} }

// Attempt takes one attempt and sends its answer.
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
		return stream.Send(refused(refusal))
	}
	attempt.AddReader()
	defer attempt.RemoveReader()
	body, err := receiveBody(stream, open.BodyBytes)
	if err != nil {
		attempt.Abort(fault.New(fault.Cancelled, "the body did not come whole"))
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

func refused(refusal *fault.Error) *wire.AttemptDown {
	return &wire.AttemptDown{Sequence: 1, Of: &wire.AttemptDown_Refused{Refused: &wire.Refused{Failure: fault.ToWire(refusal)}}}
}

var errBody = status.Error(codes.InvalidArgument, "the body differs from its announced length")

// receiveBody collects the body, of exactly the announced length.
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
				return nil, errBody
			}
			return body, nil
		}
		if uint64(len(body)+len(up.GetBody())) > size {
			return nil, errBody
		}
		body = append(body, up.GetBody()...)
	}
}

// receiveSignals takes acknowledgements and the cancel until the stream ends.
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

// sendAnswer sends the messages of an attempt from a sequence on.
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

// Resume replays an answer from a sequence on. What lies before it counts as
// acknowledged.
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

// Cancel ends an attempt.
func (s *Server) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelResponse, error) {
	s.gate.Cancel(request.Attempt)
	return &wire.CancelResponse{}, nil
}

// Inquire tells what became of an attempt.
func (s *Server) Inquire(_ context.Context, request *wire.InquireRequest) (*wire.InquireResponse, error) {
	return s.gate.Inquire(request), nil
}

// Beat answers each message at once.
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

// Reserve makes or renews a group reservation.
func (s *Server) Reserve(_ context.Context, request *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	return s.gate.Reserve(request), nil
}

// Release gives up a group reservation.
func (s *Server) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	s.gate.Release(ctx, request.Reservation)
	return &wire.ReleaseResponse{}, nil
}
