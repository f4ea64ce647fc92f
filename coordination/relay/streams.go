package relay

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

// maxBodyMessageBytes is the largest part of a body that one message carries.
const maxBodyMessageBytes = 256 << 10

// runFirstStream sends the request to the gate and receives the answer until
// the stream ends.
func (a *Attempt) runFirstStream(open *wire.AttemptOpen, body []byte, stream int) {
	gate, err := a.gates.Gate(a.origin.GateAddress)
	if err != nil {
		a.enqueue(streamMessage{err: err, stream: stream, unsent: true})
		return
	}
	up, err := gate.Attempt(a.ctx)
	if err != nil {
		a.enqueue(streamMessage{err: err, stream: stream, unsent: true})
		return
	}
	ended := up.Context().Done() // asked for first, as gRPC then opens the stream only once
	go a.sendRequest(up, ended, open, body)
	a.receive(up, stream)
}

// sendRequest sends the request, and then acknowledgements until the stream
// ends. Send errors are ignored, because the receiving side returns the
// stream's error.
func (a *Attempt) sendRequest(up wire.Gate_AttemptClient, ended <-chan struct{}, open *wire.AttemptOpen, body []byte) {
	if up.Send(&wire.AttemptUp{Of: &wire.AttemptUp_Open{Open: open}}) != nil {
		return
	}
	for len(body) > 0 {
		part := body[:min(len(body), maxBodyMessageBytes)]
		body = body[len(part):]
		if up.Send(&wire.AttemptUp{Of: &wire.AttemptUp_Body{Body: part}}) != nil {
			return
		}
	}
	if up.Send(&wire.AttemptUp{Of: &wire.AttemptUp_BodyEnd{BodyEnd: true}}) != nil {
		return
	}
	for {
		select {
		case sequence := <-a.acks:
			if up.Send(&wire.AttemptUp{Of: &wire.AttemptUp_Acknowledged{Acknowledged: sequence}}) != nil {
				return
			}
		case <-ended:
			return
		}
	}
}

// runResumedStream receives the answer from a sequence number on until the
// stream ends.
func (a *Attempt) runResumedStream(from uint64, stream int) {
	gate, err := a.gates.Gate(a.origin.GateAddress)
	if err != nil {
		a.enqueue(streamMessage{err: err, stream: stream})
		return
	}
	down, err := gate.Resume(a.ctx, &wire.ResumeRequest{
		Attempt:      a.origin.Attempt,
		Organisation: a.origin.Organisation,
		FromSequence: from,
		GateInstance: a.origin.GateInstance,
	})
	if err != nil {
		a.enqueue(streamMessage{err: err, stream: stream})
		return
	}
	a.receive(down, stream)
}

func (a *Attempt) receive(client grpc.ServerStreamingClient[wire.AttemptDown], stream int) {
	for {
		down, err := client.Recv()
		if !a.enqueue(streamMessage{down: down, err: err, stream: stream}) || err != nil {
			return
		}
	}
}

// enqueue passes a message to the attempt's goroutine. It returns false if the
// attempt has ended.
func (a *Attempt) enqueue(in streamMessage) bool {
	select {
	case a.incoming <- in:
		return true
	case <-a.ctx.Done():
		return false
	}
}
