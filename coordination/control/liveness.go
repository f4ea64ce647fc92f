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

const forgetAfter = 30 * time.Second // silence after which a process or gate leaves the status

type seenProcess struct {
	info *wire.ProcessInfo
	at   time.Time
}

type seenGate struct {
	report *wire.GateReport
	at     time.Time
}

// seen holds the newest signs of life of processes and gates, for the status only.
type seen struct {
	mu        sync.Mutex
	processes map[string]seenProcess
	gates     map[string]seenGate // by gate instance
}

func newSeen() *seen {
	return &seen{processes: make(map[string]seenProcess), gates: make(map[string]seenGate)}
}

func (s *seen) process(info *wire.ProcessInfo) {
	if info.GetId() == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[info.Id] = seenProcess{info, time.Now()}
}

func (s *seen) gate(report *wire.GateReport) {
	if len(report.CacheEvents) > 0 { // of no use to the status, and large
		report = proto.CloneOf(report)
		report.CacheEvents = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates[report.GateInstance] = seenGate{report, time.Now()}
}

// fill adds what was seen lately to a status.
func (s *seen) fill(response *wire.StatusResponse) {
	s.prune()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		age := time.Since(p.at)
		response.Processes = append(response.Processes, &wire.ProcessStatus{Info: p.info, SeenMsAgo: uint64(age.Milliseconds())})
	}
	for _, g := range s.gates {
		response.Gates = append(response.Gates, g.report)
	}
}

// prune forgets what was not seen lately.
func (s *seen) prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.processes, func(_ string, p seenProcess) bool { return time.Since(p.at) > forgetAfter })
	maps.DeleteFunc(s.gates, func(_ string, g seenGate) bool { return time.Since(g.at) > forgetAfter })
}

// AnnounceServer receives gates' reports. Listeners, such as the entry role of
// the same process, get each one too.
type AnnounceServer struct {
	wire.UnimplementedAnnounceServer
	seen *seen
}

// Announce returns the service of gates' reports. It is apart from Register,
// because an entry in the same process serves it too.
func (s *Service) Announce() *AnnounceServer { return &AnnounceServer{seen: s.seen} }

// ObserveReport takes a report that the process received by other means.
func (s *Service) ObserveReport(report *wire.GateReport) { s.seen.gate(report) }

// ObserveProcess takes a sign of life of a process.
func (s *Service) ObserveProcess(info *wire.ProcessInfo) { s.seen.process(info) }

// Reports acknowledges each report of a gate.
func (a *AnnounceServer) Reports(stream grpc.BidiStreamingServer[wire.GateReport, wire.ReportAck]) error {
	for {
		report, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.seen.gate(report)
		if err := stream.Send(&wire.ReportAck{Sequence: report.Sequence}); err != nil {
			return err
		}
	}
}

// ConfigServer hands out the configuration of a store and notes who asks.
type ConfigServer struct {
	wire.UnimplementedConfigServer
	*Service
}

// Config returns the configuration service. It is apart from Register, because
// an entry or agent in the same process serves it too, from the same store.
func (s *Service) Config() *ConfigServer { return &ConfigServer{Service: s} }

// Sync answers a neighbour; see configsync.Store.
func (c *ConfigServer) Sync(ctx context.Context, request *wire.SyncRequest) (*wire.SyncResponse, error) {
	c.seen.process(request.Process)
	response, err := c.Store.Sync(ctx, request)
	if err != nil {
		return nil, fault.ToStatus(err)
	}
	return response, nil
}
