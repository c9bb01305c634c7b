// Command opaldale runs a controller of the cluster scheduler. It also contains the client commands for
// users and operators of the cluster.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code of a command that failed.
const exitFailure = 2

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "opaldale:", err)
		os.Exit(exitFailure)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "opaldale",
		Short:         "A cluster scheduler for rented machines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), settingsCommand(), clientCommand(), linksCommand(), movesCommand(), versionCommand())
	return cmd
}
