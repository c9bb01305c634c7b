// Command study runs the cluster simulator, or real controllers on sockets, with many seeds and prints the outcomes.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "study",
		Short:         "Measure the scheduler over many seeds, in simulated time or on sockets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(linksCommand(), floodCommand(), movesCommand(), replayCommand(), socketsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "study:", err)
		os.Exit(2)
	}
}
