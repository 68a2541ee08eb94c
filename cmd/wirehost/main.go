// Command wirehost runs the decision module on the simulator's wire: batches on standard input, replies on
// standard output, trouble on standard error.
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
