// Command opaldale is the controller of a cluster of rented machines, and a
// client for its users.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"opaldale/internal/server"
	"opaldale/internal/settings"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "opaldale:", err)
		os.Exit(2)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "opaldale", Short: "A cluster scheduler for rented machines", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(serveCommand(), settingsCommand(), clientCommand(), linksCommand(), movesCommand(), versionCommand())
	return cmd
}

func serveCommand() *cobra.Command {
	var configPath, tuningPath string
	cmd := &cobra.Command{Use: "serve --config FILE", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			configureLogging()
			loaded, err := settings.Load(configPath, tuningPath)
			if err != nil {
				return err
			}
			slog.Info("starting", "node", string(loaded.Node), "bind", loaded.Bind)
			return server.Run(loaded)
		}}
	cmd.Flags().StringVar(&configPath, "config", "", "the platform's settings (TOML)")
	cmd.Flags().StringVar(&tuningPath, "tuning", os.Getenv("OPALDALE_TUNING"), "the operators' settings (S-expressions)")
	cmd.MarkFlagRequired("config")
	return cmd
}

// configureLogging writes to stderr at the level of LOG_LEVEL.
func configureLogging() {
	level := slog.LevelInfo
	if v := os.Getenv("LOG_LEVEL"); v != "" {
		if err := level.UnmarshalText([]byte(v)); err != nil {
			fmt.Fprintf(os.Stderr, "LOG_LEVEL %q is unknown; using info\n", v)
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

func settingsCommand() *cobra.Command {
	var tuningPath string
	cmd := &cobra.Command{Use: "settings", Short: "Work with settings"}
	sub := &cobra.Command{Use: "check FILE", Short: "Name every fault in a settings file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0], tuningPath); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		}}
	sub.Flags().StringVar(&tuningPath, "tuning", "", "the operators' settings (S-expressions)")
	cmd.AddCommand(sub)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			revision := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "opaldale %s (%s)\n", release, revision)
			return nil
		}}
}

// release is the version in CHANGELOG.md that this tree leads up to.
const release = "0.1.0"
