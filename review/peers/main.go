// Command peers has the stand-ins of the review's cases, one sub-command for each case.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(w *world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: peers CASE FOLDER, from the repository's root")
		os.Exit(2)
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w, err := newWorld(root, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(w.finish(cases[os.Args[1]](w)))
}
