package controlplane

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
)

// attempt is a call to one process, as a part of a hedged call.
type attempt struct {
	address string
	conn    grpc.ClientConnInterface // nil if the process can't be dialled
	began   time.Time
	renews  *attempt // the attempt on an older connection, nil if this is the first one
	renewed bool     // the process is called on a new connection too
	reply   *reply   // nil until the process has answered
}

// mayBeRenewed reports whether the process is called on a new connection once it has been
// silent.
func (a *attempt) mayBeRenewed() bool { return a.reply == nil && a.renews == nil && !a.renewed }

// isSilent reports whether the process has not answered for hedgeDelay. Its connection may
// be dead.
func (a *attempt) isSilent() bool {
	return a.reply == nil && time.Since(a.began) >= hedgeDelay
}

// reply is the result of a call to one process.
type reply struct {
	of     *attempt
	took   time.Duration
	answer *wire.SteeringAnswer
	err    error
}

// isFinal reports whether no other process needs to be asked: the leader has answered, or
// it has refused the call.
func (r *reply) isFinal() bool {
	kind := fault.KindOf(r.err)
	return r.err == nil || kind != fault.NotLeader && kind != fault.OutcomeUnknown
}

// String says what the process has answered, and when.
func (a *attempt) String() string {
	who := a.address
	if a.renews != nil {
		who += " on a new connection"
	}
	if a.reply == nil {
		return fmt.Sprintf("%s no answer for %d ms", who, time.Since(a.began).Milliseconds())
	}
	return fmt.Sprintf("%s %s after %d ms", who, a.reply.outcome(), a.reply.took.Milliseconds())
}

// outcome names the result of a call for a log line, with the cause if it got no answer.
func (r *reply) outcome() string {
	kind := fault.KindOf(r.err)
	switch {
	case r.err == nil:
		return "answered"
	case kind == fault.OutcomeUnknown && r.answer == nil:
		return fmt.Sprintf("%s (%.80s)", kind, errors.Unwrap(r.err))
	}
	return string(kind)
}

// attempts are the calls to processes that a hedged call has made, in their order.
type attempts []*attempt

// String says what each process has answered, and when.
func (all attempts) String() string {
	if len(all) == 0 {
		return "none asked"
	}
	texts := make([]string, len(all))
	for i, a := range all {
		texts[i] = a.String()
	}
	return strings.Join(texts, ", ")
}
