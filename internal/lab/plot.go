package lab

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// PlotSizes draws, for each kind of fault, the share of connections that it harmed: of the other carriers, and of the
// one that it was aimed at.
func PlotSizes(others, stricken string, sized []Sized) error {
	if err := plotHarm(others, "Connections of the other 39 carriers that a fault harms", sized, func(h Harm) Tally { return h.Others }); err != nil {
		return err
	}
	return plotHarm(stricken, "Connections harmed of the carrier that the fault is aimed at", sized, func(h Harm) Tally { return h.Stricken })
}

func plotHarm(path, title string, sized []Sized, of func(Harm) Tally) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "per cent"
	p.Legend.Top, p.Legend.XOffs, p.Legend.Padding = true, -vg.Centimeter, vg.Points(3)
	var names []string
	var with, without plotter.Values
	for _, s := range sized {
		names = append(names, s.Fault)
		with = append(with, 100*of(s.With).share())
		without = append(without, 100*of(s.Without).share())
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
