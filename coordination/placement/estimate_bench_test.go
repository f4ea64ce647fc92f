package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

// BenchmarkChooseReported measures one choice of a short prompt over endpoints that are
// known from load reports, half of which decode answers.
func BenchmarkChooseReported(b *testing.B) {
	for _, endpoints := range []int{50, 172, 920} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			bed := newTestbed(endpoints)
			bed.inDataCentre("dc2", 0)
			bed.scheduler.SetReportingDataCentres([]string{"dc2"})
			report := &wire.LoadReport{DataCentre: "dc2"}
			for _, e := range bed.endpoints[:endpoints/2] {
				report.Endpoints = append(report.Endpoints, &wire.EndpointWork{Endpoint: e.Key, Answers: 2, Writers: 2, ContextTokens: 6000, MemoryTokens: 8000})
			}
			bed.scheduler.ApplyReport(report)
			req := bed.short()
			b.ReportAllocs()
			for b.Loop() {
				if p := bed.scheduler.Choose(bed.endpoints, req); p != nil {
					p.Handle.Close()
				}
			}
		})
	}
}

// BenchmarkChoosePlain measures one choice for a plain service, whose endpoints each hold
// two requests.
func BenchmarkChoosePlain(b *testing.B) {
	for _, endpoints := range []int{3, 30, 172} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			bed := newTestbed(endpoints)
			bed.service = &catalogue.Service{Name: "plain"}
			req := &Request{Service: bed.service, DataCentre: "dc1", ObjectiveLeft: time.Second, TimeLimit: time.Minute, CallerTimeout: time.Second, Credit: 1, Excluded: func(*directory.Endpoint) bool { return false }}
			for range 2 * endpoints {
				bed.scheduler.Choose(bed.endpoints, req)
			}
			bed.now = bed.now.Add(2 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				if p := bed.scheduler.Choose(bed.endpoints, req); p != nil {
					p.Handle.Close()
					bed.now = bed.now.Add(10 * time.Millisecond)
				}
			}
		})
	}
}
