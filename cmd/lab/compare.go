package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
)

// compare prints the figures of two results side by side.
type compare struct {
	A string `arg:"" type:"path" help:"File with a result of run."`
	B string `arg:"" type:"path" help:"File with the result to compare it with."`
}

func (c compare) Run(out io.Writer) error {
	var both [2]map[string]any
	for i, path := range []string{c.A, c.B} {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &both[i]); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	flat := [2]map[string]float64{{}, {}}
	for i := range both {
		flatten("", both[i], flat[i])
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer w.Flush()
	fmt.Fprintf(w, "figure\t%s\t%s\tchange\t\n", filepath.Base(c.A), filepath.Base(c.B))
	for _, name := range slices.Sorted(maps.Keys(flat[0])) {
		a, b := flat[0][name], flat[1][name]
		change := ""
		if a != 0 {
			change = fmt.Sprintf("%+.1f%%", 100*(b/a-1))
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%s\t\n", name, a, b, change)
	}
	return nil
}

// flatten names the figures of nested objects by their paths.
func flatten(path string, from map[string]any, to map[string]float64) {
	for name, value := range from {
		switch v := value.(type) {
		case float64:
			to[path+name] = v
		case map[string]any:
			flatten(path+name+".", v, to)
		}
	}
}
