package main

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// point holds the false ejections and the detection time of a policy at one setting.
type point struct {
	setting float64
	rate    float64 // False ejections per endpoint-month.
	seconds float64 // Median detection time; infinite if most runs did not detect.
}

// curve holds the points of one policy.
type curve struct {
	name   string
	points []point
}

// Settings of the curves.
var (
	curveLimits      = []float64{6, 10, 14, 18, 22, 26, 30}
	curveConsecutive = []float64{2, 3, 4, 5, 6}
	curveDeviations  = []float64{1.6, 1.8, 2, 2.2}
	curveFaults      = []string{"failing 30%", "failing 100%", "slow 10x"}
)

// curveSeeds is the number of healthy runs behind each rate of a curve.
const curveSeeds = 6

func writeCurves(out io.Writer, dir string, seeds int) error {
	fmt.Fprintln(out, "| service | fault | method | setting | false ejections per endpoint-month | p50 s |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, service := range []fleet.Service{"catalogue", "stock"} {
		w := findWorkload(service).day()
		rates := map[string]line{
			"damaskcove":   measureEvaluator(w, curveSeeds).line,
			"consecutive":  measureConsecutive(w, curveSeeds).line,
			"success rate": measureOutlier(w, curveSeeds).line,
		}
		for i, name := range curveFaults {
			curves := curvesOf(w, findFault(name), rates, seeds)
			writePoints(out, w.name, name, curves)
			file := filepath.Join(dir, fmt.Sprintf("health-%s-%d.svg", service, i+1))
			if err := drawCurves(file, w.name+", "+name, curves); err != nil {
				return err
			}
		}
	}
	return nil
}

func findFault(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("unknown fault " + name)
}

func curvesOf(w workload, f fault, rates map[string]line, seeds int) []curve {
	return []curve{
		curveOf("damaskcove", curveLimits, rates, func(limit float64) []float64 {
			adjusted := w
			adjusted.acceptedRate = acceptedRateFor(w, limit)
			return detections(adjusted, f, methods[0], seeds)
		}),
		curveOf("consecutive", curveConsecutive, rates, func(limit float64) []float64 {
			return detections(w, f, method{newPolicy: consecutiveOf(int(limit))}, seeds)
		}),
		curveOf("success rate", curveDeviations, rates, func(deviations float64) []float64 {
			return detections(w, f, method{newPolicy: outlierOf(deviations)}, seeds)
		}),
	}
}

func curveOf(name string, settings []float64, rates map[string]line, detect func(float64) []float64) curve {
	c := curve{name: name}
	for _, s := range settings {
		c.points = append(c.points, point{setting: s, rate: rates[name].at(s), seconds: quantile(detect(s), 0.5)})
	}
	return c
}

func writePoints(out io.Writer, service, fault string, curves []curve) {
	for _, c := range curves {
		for _, p := range c.points {
			fmt.Fprintf(out, "| %s | %s | %s | %g | %.2g | %s |\n", service, fault, c.name, p.setting, p.rate, formatSeconds(p.seconds))
		}
	}
}

// Size of a figure.
const (
	figureWidth  = 16 * vg.Centimeter
	figureHeight = 10 * vg.Centimeter
)

var curveColors = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xc4, G: 0x4e, B: 0x1f, A: 0xff},
	color.RGBA{R: 0x4b, G: 0x7f, B: 0x3a, A: 0xff},
}

func drawCurves(file, title string, curves []curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "false ejections per endpoint-month"
	p.Y.Label.Text = "median detection time, s"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for i, c := range curves {
		if err := addCurve(p, c, curveColors[i]); err != nil {
			return err
		}
	}
	p.Legend.Top = true
	if err := p.Save(figureWidth, figureHeight, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}

func addCurve(p *plot.Plot, c curve, lineColor color.Color) error {
	var points plotter.XYs
	for _, x := range c.points {
		if !math.IsInf(x.seconds, 1) && x.rate > 0 && !math.IsNaN(x.rate) {
			points = append(points, plotter.XY{X: x.rate, Y: x.seconds})
		}
	}
	if len(points) == 0 {
		return nil
	}
	l, s, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("draw %s: %w", c.name, err)
	}
	l.Color, s.Color, s.Shape = lineColor, lineColor, draw.CircleGlyph{}
	p.Add(l, s)
	p.Legend.Add(c.name, l, s)
	return nil
}
