package relay

import (
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

// bodyMessageBytes is the most of a body that one message carries.
const bodyMessageBytes = 256 << 10

// send runs the first stream of an attempt.
func (a *Attempt) send(open *wire.AttemptOpen, body []byte, stream int) {
	gate, err := a.gates.Gate(a.origin.GateAddress)
	if err != nil {
		a.push(arrival{err: err, stream: stream})
		return
	}
	up, err := gate.Attempt(a.ctx)
	if err != nil {
		a.push(arrival{err: err, stream: stream})
		return
	}
	go a.sendUp(up, open, body)
	a.receive(up, stream)
}

// sendUp sends the request and then acknowledgements. A failed send needs no
// handling: the receiving side gets the stream's error.
func (a *Attempt) sendUp(up wire.Gate_AttemptClient, open *wire.AttemptOpen, body []byte) {
	if up.Send(&wire.AttemptUp{Of: &wire.AttemptUp_Open{Open: open}}) != nil {
		return
	}
	for len(body) > 0 {
		part := body[:min(len(body), bodyMessageBytes)]
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
		case <-up.Context().Done():
			return
		}
	}
}

// fetch runs a further stream, from a sequence on.
func (a *Attempt) fetch(from uint64, stream int) {
	gate, err := a.gates.Gate(a.origin.GateAddress)
	if err != nil {
		a.push(arrival{err: err, stream: stream})
		return
	}
	down, err := gate.Resume(a.ctx, &wire.ResumeRequest{
		Attempt:      a.origin.Attempt,
		Organisation: a.origin.Organisation,
		FromSequence: from,
		GateInstance: a.origin.GateInstance,
	})
	if err != nil {
		a.push(arrival{err: err, stream: stream})
		return
	}
	a.receive(down, stream)
}

func (a *Attempt) receive(from grpc.ServerStreamingClient[wire.AttemptDown], stream int) {
	for {
		down, err := from.Recv()
		if !a.push(arrival{down: down, err: err, stream: stream}) || err != nil {
			return
		}
	}
}

func (a *Attempt) push(in arrival) bool {
	select {
	case a.arrived <- in:
		return true
	case <-a.ctx.Done():
		return false
	}
}
