package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

func deadlineText(band *wire.DeadlineBand) string {
	return fmt.Sprintf("up to %d tokens: first token %s, whole answer %s", band.UpToTokens,
		time.Duration(band.FirstTokenMs)*time.Millisecond, time.Duration(band.WholeAnswerMs)*time.Millisecond)
}

func stateText(state wire.EndpointState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "ENDPOINT_STATE_"))
}

func orderText(kind wire.OrderKind) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(kind.String(), "ORDER_KIND_")), "_", "-")
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// deltaText describes the changes of a revision, one line each.
func deltaText(delta *wire.ConfigDelta) []string {
	var items []string
	for _, c := range delta.Contracts {
		verb := "put"
		if c.Deleted {
			verb = "deleted"
		}
		items = append(items, fmt.Sprintf("contract %s %s", c.Organisation, verb))
	}
	for _, d := range delta.DataCentres {
		items = append(items, fmt.Sprintf("data centre %s %s", d.Name, inOrOut(d.Out)))
	}
	for _, e := range delta.Endpoints {
		items = append(items, fmt.Sprintf("endpoint %s %s", e.Endpoint, stateText(e.State)))
	}
	for _, o := range delta.Orders {
		if o.Removed {
			continue
		}
		items = append(items, fmt.Sprintf("order %d to %s: %s %s (%s)", o.Number, o.Endpoint, orderText(o.Kind), o.Argument, orderState(o)))
	}
	for _, m := range delta.Members {
		items = append(items, fmt.Sprintf("replica %s at %s %s", m.Id, m.Address, memberText(m)))
	}
	return items
}

func orderState(o *wire.Order) string {
	switch {
	case o.Failed:
		return "failed: " + o.Result
	case o.Done:
		return "done"
	}
	return "waiting"
}

func memberText(m *wire.Member) string {
	switch {
	case m.Removed:
		return "removed"
	case m.Learner:
		return "learner"
	}
	return "voter"
}
