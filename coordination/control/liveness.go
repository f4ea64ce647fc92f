package control

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

const livenessTTL = 30 * time.Second // time after which a silent process or gate is removed from the status

type seenProcess struct {
	info   *wire.ProcessInfo
	seenAt time.Time
}

type seenGate struct {
	report *wire.GateReport
	seenAt time.Time
}

// liveness holds when each process was last heard from, and the latest report
// of each gate. Only the status uses it.
type liveness struct {
	mu        sync.Mutex
	processes map[string]seenProcess
	gates     map[string]seenGate // by gate instance
}

func newLiveness() *liveness {
	return &liveness{processes: make(map[string]seenProcess), gates: make(map[string]seenGate)}
}

func (s *liveness) observeProcess(info *wire.ProcessInfo) {
	if info.GetId() == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[info.Id] = seenProcess{info, time.Now()}
}

func (s *liveness) observeReport(report *wire.GateReport) {
	if len(report.CacheEvents) > 0 { // large, and not used by the status
		report = proto.CloneOf(report)
		report.CacheEvents = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates[report.GateInstance] = seenGate{report, time.Now()}
}

// addTo adds the processes and gates heard from within livenessTTL to a status.
func (s *liveness) addTo(response *wire.StatusResponse) {
	s.prune()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		age := time.Since(p.seenAt)
		response.Processes = append(response.Processes, &wire.ProcessStatus{Info: p.info, SeenMsAgo: uint64(age.Milliseconds())})
	}
	for _, g := range s.gates {
		response.Gates = append(response.Gates, g.report)
	}
}

// prune removes processes and gates not heard from within livenessTTL.
func (s *liveness) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.processes, func(_ string, p seenProcess) bool { return time.Since(p.seenAt) > livenessTTL })
	maps.DeleteFunc(s.gates, func(_ string, g seenGate) bool { return time.Since(g.seenAt) > livenessTTL })
}

// AnnounceServer receives reports from gates.
type AnnounceServer struct {
	wire.UnimplementedAnnounceServer
	liveness *liveness
}

// Announce returns the Announce service, which receives gate reports. It is not
// part of Register, because an entry in the same process registers its own.
func (s *Service) Announce() *AnnounceServer { return &AnnounceServer{liveness: s.liveness} }

// ObserveReport records a report that another service of the process received,
// such as the Announce service of an entry.
func (s *Service) ObserveReport(report *wire.GateReport) { s.liveness.observeReport(report) }

// ObserveProcess records that the process was heard from.
func (s *Service) ObserveProcess(info *wire.ProcessInfo) { s.liveness.observeProcess(info) }

// Reports records and acknowledges each report of a gate.
func (a *AnnounceServer) Reports(stream grpc.BidiStreamingServer[wire.GateReport, wire.ReportAck]) error {
	for {
		report, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.liveness.observeReport(report)
		if err := stream.Send(&wire.ReportAck{Sequence: report.Sequence}); err != nil {
			return err
		}
	}
}

// ConfigServer serves the configuration of a store and records which processes
// ask for it.
type ConfigServer struct {
	wire.UnimplementedConfigServer
	*Service
}

// Config returns the configuration service. It is not part of Register, because
// an entry or agent in the same process serves the same store itself.
func (s *Service) Config() *ConfigServer { return &ConfigServer{Service: s} }

// Sync answers a process that syncs its configuration; see configsync.Store.
func (c *ConfigServer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	c.liveness.observeProcess(request.Process)
	response, err := c.Store.Sync(ctx, request)
	if err != nil {
		return nil, fault.ToStatus(err)
	}
	return response, nil
}
