package gatelink

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// AnnounceServer receives the reports of gates and records them in a routing table. It is
// named after the gRPC service Announce, not after POST /announce of the endpoints.
type AnnounceServer struct {
	wire.UnimplementedAnnounceServer
	table   *routing.Table
	observe func(*wire.GateReport)
}

// NewAnnounceServer returns a server that records reports in the table. It also calls
// observe, which may be nil, with each report.
func NewAnnounceServer(table *routing.Table, observe func(*wire.GateReport)) *AnnounceServer {
	return &AnnounceServer{table: table, observe: observe}
}

// Reports implements wire.AnnounceServer.
func (a *AnnounceServer) Reports(stream wire.Announce_ReportsServer) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if report.Endpoint != "" && report.GateAddress != "" {
			a.record(report)
		}
		if err := stream.Send(&wire.ReportAck{Sequence: report.Sequence}); err != nil {
			return err
		}
	}
}

func (a *AnnounceServer) record(report *wire.GateReport) {
	a.table.Observe(report, time.Now())
	if a.observe != nil {
		a.observe(report)
	}
}
