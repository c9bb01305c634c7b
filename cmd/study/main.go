// Command study runs the cluster simulator with many seeds and prints a table of the outcomes, or a digest of each run.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "study",
		Short:         "Measure the scheduler in simulated time, over many seeds",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(linksCommand(), floodCommand(), movesCommand(), replayCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "study:", err)
		os.Exit(2)
	}
}
