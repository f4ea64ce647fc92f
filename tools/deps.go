//go:build deps

// Package tools keeps the modules that the project has chosen in go.mod.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/rcrowley/go-metrics"
	_ "go.uber.org/dig"
	_ "go.yaml.in/yaml/v3"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
