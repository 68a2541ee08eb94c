// Command wirehost runs the decision module behind the simulator's wire protocol: it reads batches from standard input,
// and writes replies to standard output and errors to standard error.
package main

import (
	"fmt"
	"os"

	"tealtiller/internal/wire"
)

func main() {
	if err := wire.NewAdapter(os.Stdin, os.Stdout, os.Stderr).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
