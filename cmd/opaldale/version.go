package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// release is the version under development. CHANGELOG.md has the same version.
const release = "0.1.0"

// revisionSetting is the key of the build setting that holds the source revision.
const revisionSetting = "vcs.revision"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintf(cmd.OutOrStdout(), "opaldale %s (%s)\n", release, sourceRevision())
			return nil
		},
	}
}

// sourceRevision returns the source revision of the build, or "unknown" if the build did not record it.
func sourceRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == revisionSetting {
			return s.Value
		}
	}
	return "unknown"
}
