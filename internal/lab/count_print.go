package lab

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Print writes the figures as tables, with a column for each second.
func (c *Count) Print(out io.Writer) error {
	p := countPrinter{tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)}
	fmt.Fprintf(p, "%d balancers, %d lines, %d not log lines\n", c.Balancers, c.Lines, c.Unparsed)
	p.seconds(c.Seconds)
	p.events(c)
	p.fleet(&c.Fleet)
	p.hosts(c)
	p.spreads(c)
	return p.Flush()
}

// countPrinter writes the tables of a Count; write errors are kept until Flush.
type countPrinter struct{ *tabwriter.Writer }

func (p countPrinter) seconds(n int) {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	p.row("second", all)
	fmt.Fprintln(p)
}

func (p countPrinter) events(c *Count) {
	for _, event := range slices.Sorted(maps.Keys(c.Events)) {
		p.summedRow(event, c.Events[event])
	}
}

func (p countPrinter) fleet(f *FleetFigures) {
	fmt.Fprint(p, "\nfleet\n")
	for _, figure := range []struct {
		name   string
		values []int
	}{
		{"connections", f.Connections},
		{"groups", f.Groups},
		{"pieces", f.Pieces},
		{"variation", f.Variation},
		{"herd", f.Herd},
	} {
		p.row(figure.name, figure.values)
		fmt.Fprintln(p)
	}
}

func (p countPrinter) hosts(c *Count) {
	for _, figure := range hostFigures {
		fmt.Fprintf(p, "\nby desk host: %s\n", figure)
		isGauge := figure == "standing" || figure == "load" // a sum over seconds has no meaning
		for _, host := range c.hostNames() {
			if values := c.Hosts[host][figure]; isGauge {
				p.row(host, values)
				fmt.Fprintln(p)
			} else {
				p.summedRow(host, values)
			}
		}
	}
}

func (p countPrinter) spreads(c *Count) {
	fmt.Fprint(p, "\nfirst seen\tlast seen\tbalancers\t\n")
	for _, revision := range slices.Sorted(maps.Keys(c.Revisions)) {
		p.spread(c.Revisions[revision], fmt.Sprint("revision ", revision))
	}
	for _, host := range slices.Sorted(maps.Keys(c.PassedOver)) {
		p.spread(c.PassedOver[host], "passed over "+host)
	}
}

func (p countPrinter) spread(s Spread, what string) {
	fmt.Fprintf(p, "%.2f s\t%.2f s\t%d\t%s\t\n", s.First, s.Last, s.Balancers, what)
}

// row writes a name and the values, but does not end the line.
func (p countPrinter) row(name string, values []int) {
	fmt.Fprintf(p, "%s\t", name)
	for _, n := range values {
		fmt.Fprintf(p, "%s\t", figureText(n))
	}
}

// summedRow writes a row that ends with the sum of its values.
func (p countPrinter) summedRow(name string, values []int) {
	sum := 0
	for _, n := range values {
		sum += n
	}
	p.row(name, values)
	fmt.Fprintf(p, "= %d\t\n", sum)
}

// figureText formats a figure; a negative one stands for no data.
func figureText(n int) string {
	if n < 0 {
		return "."
	}
	return strconv.Itoa(n)
}
