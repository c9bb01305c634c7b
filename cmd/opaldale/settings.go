package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"opaldale/internal/settings"
)

// settingsCommand returns the command that contains the commands for settings files.
func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check settings files"}
	cmd.AddCommand(settingsCheckCommand())
	return cmd
}

func settingsCheckCommand() *cobra.Command {
	var tuningPath string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print all errors",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0], tuningPath); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		},
	}
	cmd.Flags().StringVar(&tuningPath, "tuning", "", tuningUsage)
	return cmd
}
