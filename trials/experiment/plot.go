package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	plotFloorMs = 0.1 // a logarithmic axis has no zero
)

// Plot draws the time to first token over the percentile, with a line for each prompt
// length band, into a file. The extension of path sets the format: .svg, .png and others.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Time to first token, workload " + r.Workload
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for i, b := range r.Bands {
		if len(b.FirstTokenCurve) == 0 {
			continue
		}
		line, err := plotter.NewLine(linePoints(b.FirstTokenCurve))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(b.Band, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func linePoints(curve []float64) plotter.XYs {
	xys := make(plotter.XYs, len(curve))
	for i, value := range curve {
		xys[i].X = float64(i)
		xys[i].Y = max(value, plotFloorMs)
	}
	return xys
}
