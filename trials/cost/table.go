package cost

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Line is a straight line through the samples of one figure.
type Line struct {
	Intercept float64 // value without endpoints
	Slope     float64 // increase per endpoint
}

// At returns the value of the line at a number of endpoints.
func (l Line) At(endpoints float64) float64 { return l.Intercept + l.Slope*endpoints }

// Fit returns the least-squares line of a figure over the number of endpoints, for the
// samples of a role.
func Fit(samples []Sample, role string, figure func(Sample) float64) Line {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, s := range samples {
		if s.Role != role {
			continue
		}
		x, y := float64(s.Endpoints), figure(s)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return Line{Intercept: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return Line{Intercept: (sumY - slope*sumX) / n, Slope: slope}
}

type figure struct {
	name  string
	value func(Sample) float64
}

var figures = []figure{
	{"% of a core", func(s Sample) float64 { return 100 * s.CPUCores }},
	{"MB", func(s Sample) float64 { return s.MemoryMB }},
	{"KB/s read", func(s Sample) float64 { return s.ReadKBps }},
	{"KB/s written", func(s Sample) float64 { return s.WriteKBps }},
}

// Print prints the samples, and the line of each figure and role.
func Print(w io.Writer, samples []Sample) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "role\tendpoints\t% of a core\tMB\tKB/s read\tKB/s written")
	for _, s := range samples {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.1f\t%.2f\t%.2f\n", s.Role, s.Endpoints, 100*s.CPUCores, s.MemoryMB, s.ReadKBps, s.WriteKBps)
	}
	fmt.Fprintln(table, "\nrole\tfigure\tbase\tper endpoint")
	for _, role := range []string{"control", "entry", "agent"} {
		for _, f := range figures {
			line := Fit(samples, role, f.value)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.5f\n", role, f.name, line.Intercept, line.Slope)
		}
	}
}
