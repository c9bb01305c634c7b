// Command study plays the stand-in world many times over, in simulated time, and prints the
// distributions of what came of it, or a digest of each day.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "study", Short: "Measure in simulated time, over many seeds", SilenceUsage: true,
		SilenceErrors: true}
	root.AddCommand(linksCommand(), floodCommand(), movesCommand(), replayCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "study:", err)
		os.Exit(2)
	}
}
