package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"tealtiller/internal/cells"
	"tealtiller/internal/discovery"
	"tealtiller/internal/operator"
)

// check is the sub-command that checks operator's files.
type check struct {
	Files []string `arg:"" type:"path" name:"file" help:"Operator's files."`
}

// Run checks the files and reports the errors of all of them.
func (c check) Run(out io.Writer) error {
	var all operator.ErrorList
	for _, path := range c.Files {
		_, err := operator.Load(path)
		var several operator.ErrorList
		switch {
		case err == nil:
			fmt.Fprintf(out, "%s: valid\n", path)
		case errors.As(err, &several):
			all = append(all, several...)
		default:
			all = append(all, err.Error())
		}
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

// inspect is the sub-command cells.
type inspect struct {
	File string    `arg:"" type:"path" help:"The operator's file."`
	List string    `type:"path" required:"" help:"A list of desk hosts as sent by discovery (GET /discovery/hosts), or '-' for standard input."`
	At   time.Time `format:"2006-01-02T15:04:05Z07:00" help:"The time to show; now by default."`
}

// Run prints the cells as of the given time.
func (c inspect) Run(out io.Writer) error {
	file, err := operator.Load(c.File)
	if err != nil {
		return err
	}
	if file.Cells.CellCount() == 0 {
		return fmt.Errorf("%s: no cells defined", c.File)
	}
	raw, err := readAll(c.List)
	if err != nil {
		return err
	}
	list, err := discovery.Parse(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", c.List, err)
	}
	if c.At.IsZero() {
		c.At = time.Now()
	}
	printCells(out, file.Cells, list, c.At)
	return nil
}

func readAll(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

func printCells(out io.Writer, plan *cells.Plan, list *discovery.List, at time.Time) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	cellOf := plan.AssignHosts(list.Servers())
	for _, c := range plan.Cells {
		var hosts []string
		count, size, rooms := 0, 0.0, map[string]int{}
		for _, m := range list.Members {
			if cellOf[m.ID] == c.Name {
				hosts = append(hosts, m.ID)
				count, size = count+1, size+m.Weight
				rooms[m.Zone+" "+m.Kind]++
			}
		}
		slices.Sort(hosts)
		carriers := c.Carriers
		if c.Name == plan.Default {
			carriers = append(slices.Clone(carriers), "and all others")
		}
		if len(hosts) == 0 {
			hosts = []string{"(none: requests that cannot overflow are refused)"}
		}
		fmt.Fprintf(w, "cell %s\t%d hosts, size %.4g\t%s\n", c.Name, count, size, strings.Join(hosts, " "))
		fmt.Fprintf(w, "\tspread\t%v\n\tcarriers\t%s\n", rooms, strings.Join(carriers, " "))
		for _, r := range c.Flights {
			fmt.Fprintf(w, "\tflights\t%x to %x\n", r.Low, r.High)
		}
		if c.OverflowTo != "" {
			fmt.Fprintf(w, "\toverflows to\t%s\n", c.OverflowTo)
		}
	}
	for _, m := range plan.Moves {
		crossed, now := 0, time.Duration(at.UnixNano())
		const sample = 10000
		for i := range sample {
			if moved, _ := m.Crossed(now, uint64(i)); moved {
				crossed++
			}
		}
		fmt.Fprintf(w, "move %s\tfrom %s to %s\t%s to %s\n", m.Carrier, m.From, m.To,
			time.Unix(0, int64(m.Start)).UTC().Format(time.RFC3339), time.Unix(0, int64(m.End())).UTC().Format(time.RFC3339))
		fmt.Fprintf(w, "\tat %s\t%.0f%% of its flights have moved\n", at.UTC().Format(time.RFC3339), 100*float64(crossed)/sample)
	}
}
