// Package plot draws results as PNG and SVG files.
package plot

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/ebonyworks/ebonyworks/load/report"
)

// Sizes of the drawings.
const (
	width     = 24 * vg.Centimeter
	height    = 12 * vg.Centimeter
	barWidth  = 6 * vg.Millimeter
	lineWidth = 0.5 * vg.Millimeter
)

// lowestMillisecond is the bottom of latency axes. They are logarithmic, since
// the tail under faults is many times the median.
const lowestMillisecond = 1

// formats are the files that are written for each drawing.
var formats = []string{".png", ".svg"}

// Draw writes the drawings of the results to a directory and returns the names
// of the files. For each user and scenario there is one with the latency
// percentiles of each policy; scenarios of several phases also get one with
// goodput and one with p99 over time.
func Draw(directory string, results []report.Result) ([]string, error) {
	var files []string
	for _, group := range groups(results) {
		drawn, err := group.draw(directory)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", group.title())
		}
		files = append(files, drawn...)
	}
	return files, nil
}

// group holds the results of one scenario, one for each policy.
type group struct {
	user, scenario string
	results        []report.Result
	// phased is set if the scenario has several phases.
	phased bool
}

func (g group) title() string { return g.user + ", " + g.scenario }

// groups collects the results for all phases by scenario. Of several runs with
// the same policy, the last one counts.
func groups(results []report.Result) []*group {
	var list []*group
	find := func(result report.Result) *group {
		for _, each := range list {
			if each.user == result.User && each.scenario == result.Scenario {
				return each
			}
		}
		list = append(list, &group{user: result.User, scenario: result.Scenario})
		return list[len(list)-1]
	}
	for _, result := range results {
		target := find(result)
		if result.Phase != report.AllPhases {
			target.phased = true
			continue
		}
		target.results = slices.DeleteFunc(target.results, func(earlier report.Result) bool {
			return earlier.Policy == result.Policy
		})
		target.results = append(target.results, result)
	}
	return slices.DeleteFunc(list, func(g *group) bool { return len(g.results) == 0 })
}

func (g group) draw(directory string) ([]string, error) {
	name := fmt.Sprintf("%s-%s", g.user, g.scenario)
	files, err := g.latency(filepath.Join(directory, name+"-latency"))
	if err != nil || !g.phased {
		return files, err
	}
	goodput, err := g.overTime(filepath.Join(directory, name+"-goodput"), "complete answers per second", func(b report.Bucket) (float64, bool) {
		return b.Goodput, true
	})
	if err != nil {
		return nil, err
	}
	tail, err := g.overTime(filepath.Join(directory, name+"-p99"), "p99 in ms", func(b report.Bucket) (float64, bool) {
		return b.P99, b.P99 > 0
	})
	return slices.Concat(files, goodput, tail), err
}

// latency draws the percentiles of each policy as groups of bars.
func (g group) latency(path string) ([]string, error) {
	p := plot.New()
	p.Title.Text = g.title()
	p.Y.Label.Text = "latency in ms"
	p.Y.Scale = barScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for i, result := range g.results {
		l := result.Latency
		values := plotter.Values{l.P50, l.P90, l.P99, l.P999, l.Max}
		for k := range values {
			values[k] = max(values[k], lowestMillisecond)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.LineStyle.Width = 0
		bars.Color = policyColor(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(g.results)-1)/2)
		p.Add(bars)
		p.Legend.Add(result.Policy, bars)
	}
	p.NominalX("p50", "p90", "p99", "p99.9", "max")
	p.Y.Min = lowestMillisecond
	p.Y.Max = max(p.Y.Max, 10*lowestMillisecond)
	return save(p, path)
}

// overTime draws one line for each policy.
func (g group) overTime(path, label string, value func(report.Bucket) (float64, bool)) ([]string, error) {
	p := plot.New()
	p.Title.Text = g.title()
	p.X.Label.Text = "time in s"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	for i, result := range g.results {
		var points plotter.XYs
		for _, bucket := range result.Timeline {
			if y, ok := value(bucket); ok {
				points = append(points, plotter.XY{X: bucket.At, Y: y})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = policyColor(i)
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(result.Policy, line)
	}
	return save(p, path)
}

// barScale is a logarithmic scale on which bars may start at zero.
type barScale struct{ log plot.LogScale }

// Normalize returns the position of a value as a part of the axis.
func (s barScale) Normalize(low, high, value float64) float64 {
	return s.log.Normalize(low, high, max(low, value))
}

func policyColor(index int) color.Color { return plotutil.Color(index) }

func save(p *plot.Plot, path string) ([]string, error) {
	var files []string
	for _, format := range formats {
		if err := p.Save(width, height, path+format); err != nil {
			return nil, err
		}
		files = append(files, path+format)
	}
	return files, nil
}
