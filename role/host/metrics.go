package host

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/directory"
	"github.com/apricotspoke/apricotspoke/coordination/placement"
	"github.com/apricotspoke/apricotspoke/coordination/quarantine"
	"github.com/apricotspoke/apricotspoke/coordination/replica"
	"github.com/apricotspoke/apricotspoke/coordination/statecache"
	"github.com/apricotspoke/apricotspoke/state/hostconfig"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
	"github.com/apricotspoke/apricotspoke/transport/mesh"
	"github.com/apricotspoke/apricotspoke/transport/shortcall"
)

// Metrics serves a process's metrics as text, and an entry's explanations.
type Metrics struct {
	process  *hostconfig.Process
	registry *metrics.Registry
	explain  http.Handler // nil for processes other than entries
}

func newMetrics(p *hostconfig.Process, registry *metrics.Registry, store *statecache.Store, dir *directory.Directory, scheduler *placement.Scheduler, parts *quarantine.Tracker, links *mesh.Mesh) *Metrics {
	registry.AddCollector(func(w io.Writer) {
		state := store.State()
		age, known := store.Age()
		fmt.Fprintf(w, "state_index %d\nstate_version %d\nstate_known %d\nstate_age_ms %d\ndata_centres_out %d\n",
			state.Index, state.Version(), boolToInt(known), age.Milliseconds(), len(state.DataCentresOut))
		fmt.Fprintf(w, "directory_endpoints %d\ndirectory_processes %d\n", dir.CountEndpoints(), len(dir.Processes()))
		stats := scheduler.Stats()
		fmt.Fprintf(w, "ledger_own_work %d\nledger_other_work %d\nledger_resting_endpoints %d\nprediction_bias %.3f\n",
			stats.Own, stats.Remote, stats.BackingOff, stats.Bias)
		fmt.Fprintf(w, "ledger_reported_answers %d\nendpoints_rate_limited %d\n", scheduler.ReportedAnswers(), stats.RateLimited)
		writeEstimateStats(w, scheduler.EstimateStats())
		counts := parts.Counts()
		fmt.Fprintf(w, "parts_suspect %d\nparts_quarantined %d\nparts_recorded %d\n", counts.Suspects, counts.Quarantined, len(state.Quarantined))
		fmt.Fprintf(w, "parts_ends_total %d\nparts_cleared_total %d\nparts_proved_total %d\n", counts.Ends, counts.Cleared, counts.Proved)
		linkStats := links.Stats()
		for _, role := range slices.Sorted(maps.Keys(linkStats.LinksByRole)) {
			fmt.Fprintf(w, "links{role=%q} %d\n", role, linkStats.LinksByRole[role])
		}
		fmt.Fprintf(w, "links_up %d\ndata_centres_unreached %d\nlinks_longest_silence_ms %d\n", linkStats.LinksUp, linkStats.UnreachableDataCentres, linkStats.LongestSilence.Milliseconds())
	})
	return &Metrics{process: p, registry: registry}
}

// writeEstimateStats writes the counts of choices by estimated load, with the ages of the load
// reports as a histogram with cumulative buckets.
func writeEstimateStats(w io.Writer, stats placement.EstimateStats) {
	fmt.Fprintf(w, "placement_spread_choices_total %d\nplacement_corrected_estimates_total %d\n", stats.Spread, stats.Corrected)
	total := uint64(0)
	for i, n := range stats.ReportAges {
		total += n
		bound := "+Inf"
		if i < len(placement.ReportAgeBounds) {
			bound = strconv.FormatInt(placement.ReportAgeBounds[i].Milliseconds(), 10)
		}
		fmt.Fprintf(w, "placement_report_age_ms{le=%q} %d\n", bound, total)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// addReplica adds the metrics of the control replica.
func (m *Metrics) addReplica(r *replica.Replica) {
	m.registry.AddCollector(func(w io.Writer) {
		s := r.Status()
		fmt.Fprintf(w, "control_leads %d\ncontrol_leader_known %d\ncontrol_term %d\ncontrol_commit_index %d\ncontrol_members %d\n",
			boolToInt(s.IsLeader), boolToInt(s.Leader != ""), s.Term, s.Commit, len(s.Members))
	})
}

// serve listens on the metrics port, if one is set. It returns the server for the
// caller to close.
func (m *Metrics) serve(failed chan<- error) (*http.Server, error) {
	server := shortcall.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.explain != nil && r.URL.Path == explainPath {
			m.explain.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.registry.WriteText(w)
	}), time.Second)
	if m.process.MetricsPort == 0 {
		return server, nil
	}
	return server, serveHTTP(net.JoinHostPort(m.process.IP, strconv.Itoa(m.process.MetricsPort)), server, failed)
}
