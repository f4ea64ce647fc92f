package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/connections"
	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

const statusGatherTimeout = 500 * time.Millisecond // for the answers of the other replicas

// Status returns the leader, the members of the group, and the processes and
// gates that any replica has heard from recently. A replica without a leader
// also answers, with what it knows.
func (o *operatorServer) Status(ctx context.Context, request *wire.StatusRequest) (*wire.StatusResponse, error) {
	if err := o.authenticate(request.OperatorKey); err != nil {
		return nil, fault.ToStatus(err)
	}
	if forwarded(ctx) {
		return o.localStatus(), nil
	}
	response := o.localStatus()
	for _, other := range o.gatherStatus(ctx, request) {
		response.Processes = append(response.Processes, other.Processes...)
		response.Gates = append(response.Gates, other.Gates...)
	}
	response.Processes = newestProcesses(response.Processes)
	response.Gates = newestGates(response.Gates)
	return response, nil
}

func (o *operatorServer) localStatus() *wire.StatusResponse {
	st := o.Replica.Status()
	response := &wire.StatusResponse{
		ReplicaId:     st.ID,
		LeaderId:      st.Leader,
		LeaderAddress: st.LeaderAddress,
		Term:          st.Term,
		Commit:        st.Commit,
		Revision:      o.Machine.Published().View.Revision(),
		Members:       st.Members,
		FirstLogIndex: st.FirstIndex,
		SnapshotIndex: st.SnapshotIndex,
	}
	self := &wire.ProcessInfo{
		Id:         o.Process.Id,
		Role:       o.Process.Role,
		DataCentre: o.Process.DataCentre,
		Address:    o.Process.Address,
		Revision:   o.Store.Revision(),
	}
	response.Processes = append(response.Processes, &wire.ProcessStatus{Info: self})
	o.liveness.addTo(response)
	return response
}

// gatherStatus asks the other replicas concurrently. Replicas that do not
// answer are left out.
func (o *operatorServer) gatherStatus(ctx context.Context, request *wire.StatusRequest) []*wire.StatusResponse {
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, forwardedHeader, "1"), statusGatherTimeout)
	defer cancel()
	st := o.Replica.Status()
	var mu sync.Mutex
	var all []*wire.StatusResponse
	var wait sync.WaitGroup
	for _, member := range st.Members {
		if member.Id == st.ID || member.Removed {
			continue
		}
		wait.Go(func() {
			response, err := connections.Call(o.Connections, member.Address, func(conn grpc.ClientConnInterface) (*wire.StatusResponse, error) {
				return wire.NewOperatorClient(conn).Status(ctx, request)
			})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, response)
		})
	}
	wait.Wait()
	return all
}

// newestProcesses keeps the most recent status of each process.
func newestProcesses(list []*wire.ProcessStatus) []*wire.ProcessStatus {
	slices.SortFunc(list, func(a, b *wire.ProcessStatus) int {
		if c := strings.Compare(a.Info.Id, b.Info.Id); c != 0 {
			return c
		}
		return int(int64(a.SeenMsAgo) - int64(b.SeenMsAgo))
	})
	return slices.CompactFunc(list, func(a, b *wire.ProcessStatus) bool { return a.Info.Id == b.Info.Id })
}

// newestGates keeps the report with the highest sequence number of each gate
// instance.
func newestGates(list []*wire.GateReport) []*wire.GateReport {
	slices.SortFunc(list, func(a, b *wire.GateReport) int {
		if c := strings.Compare(a.Endpoint+"\x00"+a.GateInstance, b.Endpoint+"\x00"+b.GateInstance); c != 0 {
			return c
		}
		return int(int64(b.Sequence) - int64(a.Sequence))
	})
	return slices.CompactFunc(list, func(a, b *wire.GateReport) bool { return a.GateInstance == b.GateInstance })
}
