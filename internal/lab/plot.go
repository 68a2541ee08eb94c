package lab

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// PlotFaultHarm draws, for each kind of fault, the share of connections that it harmed: of the carrier that it
// targeted, and of the others.
func PlotFaultHarm(others, targeted string, comparisons []FaultComparison) error {
	if err := plotHarm(others, "Harmed connections of the 39 carriers that the fault does not target", comparisons, func(h Harm) Tally { return h.Others }); err != nil {
		return err
	}
	return plotHarm(targeted, "Harmed connections of the carrier that the fault targets", comparisons, func(h Harm) Tally { return h.Targeted })
}

func plotHarm(path, title string, comparisons []FaultComparison, tallyOf func(Harm) Tally) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "per cent"
	p.Legend.Top, p.Legend.XOffs, p.Legend.Padding = true, -vg.Centimeter, vg.Points(3)
	var names []string
	var with, without plotter.Values
	for _, s := range comparisons {
		names = append(names, s.Fault)
		with = append(with, 100*tallyOf(s.With).share())
		without = append(without, 100*tallyOf(s.Without).share())
	}
	for i, bars := range []struct {
		values plotter.Values
		name   string
		colour color.Color
	}{{without, "without cells  ", color.RGBA{R: 190, G: 90, B: 60, A: 255}}, {with, "with 40 cells  ", color.RGBA{R: 40, G: 120, B: 130, A: 255}}} {
		chart, err := plotter.NewBarChart(bars.values, vg.Points(18))
		if err != nil {
			return err
		}
		chart.Color, chart.Offset = bars.colour, vg.Points(float64(20*i-10))
		p.Add(chart)
		p.Legend.Add(bars.name, chart)
	}
	p.NominalX(names...)
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, path)
}

// PlotPlacement draws the solver's gap to its bound over its time, by size of the fleet.
func PlotPlacement(path string, runs []SolverRun) error {
	p := plot.New()
	p.Title.Text = "Gap to the bound, by hosts (20 flights per host); each line ends with the search"
	p.X.Label.Text, p.Y.Label.Text = "milliseconds", "per cent"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: 0}
	p.Legend.Top, p.Legend.Padding = true, vg.Points(3)
	lines := map[[2]int]plotter.XYs{}
	var order [][2]int
	for _, s := range runs {
		key := [2]int{s.Hosts, int(s.Demand*100 + 0.5)}
		if lines[key] == nil {
			order = append(order, key)
		}
		lines[key] = append(lines[key], plotter.XY{X: max(s.Took.Seconds()*1e3, 0.1), Y: 100 * s.Gap})
	}
	colours := map[int]color.Color{10: color.RGBA{R: 40, G: 120, B: 130, A: 255}, 100: color.RGBA{R: 190, G: 90, B: 60, A: 255},
		1000: color.RGBA{R: 90, G: 60, B: 140, A: 255}}
	for _, key := range order {
		line, points, err := plotter.NewLinePoints(lines[key])
		if err != nil {
			return err
		}
		line.Color, points.Color = colours[key[0]], colours[key[0]]
		line.Dashes = map[int][]vg.Length{70: {vg.Points(1), vg.Points(3)}, 95: {vg.Points(6), vg.Points(3)}}[key[1]]
		p.Add(line, points)
		p.Legend.Add(fmt.Sprintf("%d hosts, demand %d%%  ", key[0], key[1]), line)
	}
	return p.Save(18*vg.Centimeter, 11*vg.Centimeter, path)
}
