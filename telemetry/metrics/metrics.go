// Package metrics keeps counters and histograms by organisation and class, with
// a bounded number of series, and writes them as text.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	maxOrganisations  = 1024
	otherOrganisation = "other" // shared by the organisations beyond the bound

	// The histograms' reservoirs have the usual parameters of go-metrics, which weight
	// the last five minutes most.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

var quantiles = []float64{0.5, 0.95, 0.99}

// Registry holds the metrics of one process.
type Registry struct {
	registry gometrics.Registry

	mu            sync.Mutex
	organisations map[string]struct{}
	collectors    []func(w io.Writer)
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: gometrics.NewRegistry(), organisations: make(map[string]struct{})}
}

// Labels identify one series of a metric. Class must come from a fixed set, as
// the number of classes isn't bounded here.
type Labels struct{ Organisation, Class string }

// seriesPrefix returns the name and labels of a series without the closing brace, which
// writeSeries adds after further labels. It counts an organisation beyond the bound
// under otherOrganisation.
func (r *Registry) seriesPrefix(name string, l Labels) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.organisations[l.Organisation]; !known {
		if len(r.organisations) >= maxOrganisations {
			l.Organisation = otherOrganisation
		} else {
			r.organisations[l.Organisation] = struct{}{}
		}
	}
	return fmt.Sprintf("%s{organisation=%q,class=%q", name, l.Organisation, l.Class)
}

// ObserveDuration adds a duration to a histogram, in milliseconds.
func (r *Registry) ObserveDuration(name string, l Labels, d time.Duration) {
	h := r.registry.GetOrRegister(r.seriesPrefix(name, l), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	h.(gometrics.Histogram).Update(d.Milliseconds())
}

// Count adds one to a counter.
func (r *Registry) Count(name string, l Labels) {
	c := r.registry.GetOrRegister(r.seriesPrefix(name, l), gometrics.NewCounter)
	c.(gometrics.Counter).Inc(1)
}

// AddCollector adds a function that writes further series, with their values at
// the time of each WriteText.
func (r *Registry) AddCollector(write func(w io.Writer)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectors = append(r.collectors, write)
}

// WriteText writes all series as text, one on each line, in a fixed order.
func (r *Registry) WriteText(w io.Writer) {
	var names []string
	metricsByName := make(map[string]any)
	r.registry.Each(func(name string, metric any) {
		names = append(names, name)
		metricsByName[name] = metric
	})
	slices.Sort(names)
	for _, name := range names {
		writeSeries(w, name, metricsByName[name])
	}
	r.mu.Lock()
	collectors := slices.Clone(r.collectors)
	r.mu.Unlock()
	for _, write := range collectors {
		write(w)
	}
}

// writeSeries writes a counter as one line. It writes a histogram as one line for each
// quantile and one with the label of="count" for the number of observations; there is no
// sum.
func writeSeries(w io.Writer, prefix string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		fmt.Fprintf(w, "%s} %d\n", prefix, m.Count())
	case gometrics.Histogram:
		snapshot := m.Snapshot()
		for i, value := range snapshot.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s,quantile=\"%g\"} %.0f\n", prefix, quantiles[i], value)
		}
		fmt.Fprintf(w, "%s,of=\"count\"} %d\n", prefix, snapshot.Count())
	}
}
