package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"tealtiller/internal/placement"
)

// planGather derives a fleet from records.
type planGather struct {
	Files  []string      `arg:"" type:"path" name:"record" help:"Record files of all balancers."`
	Out    string        `required:"" type:"path" help:"File for the fleet."`
	Bucket time.Duration `default:"5s" help:"Records within this time are combined; at least the interval at which balancers record."`
}

func (c planGather) Run(out io.Writer) error {
	prices := placement.DefaultPrices()
	builder := placement.NewFleetBuilder(placement.DefaultClassLoads(), prices.PerHostOverhead, c.Bucket)
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = builder.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	fleet, err := builder.Fleet(prices)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "%d hosts, %d flights; %d invalid lines\n\nhost\troom\tkind\tcapacity\tcapacity error\n",
		len(fleet.Hosts), len(fleet.Flights), builder.RejectedLines)
	for _, h := range fleet.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.0f%%\n", h.ID, h.Room, h.Kind, h.Capacity, 100*h.CapacityError)
	}
	text, err := json.MarshalIndent(fleet, "", " ")
	if err != nil {
		return err
	}
	return replace(c.Out, append(text, '\n'))
}
