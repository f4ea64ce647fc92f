package gatelink

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
)

// Announce takes the reports of gates into a routing table.
type Announce struct {
	wire.UnimplementedAnnounceServer
	table *routing.Table
}

// NewAnnounce returns the service.
func NewAnnounce(table *routing.Table) *Announce { return &Announce{table: table} }

// Reports implements wire.AnnounceServer.
func (a *Announce) Reports(stream wire.Announce_ReportsServer) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if report.Endpoint != "" && report.GateAddress != "" {
			a.table.Observe(report, time.Now())
		}
		if err := stream.Send(&wire.ReportAck{Sequence: report.Sequence}); err != nil {
			return err
		}
	}
}
