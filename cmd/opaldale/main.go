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
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "opaldale:", err)
		os.Exit(2)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "opaldale", Short: "A cluster scheduler for rented machines", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(serve(), check(), client(), links(), moves(), version())
	return cmd
}

func serve() *cobra.Command {
	var config, tuning string
	cmd := &cobra.Command{Use: "serve --config FILE", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			logging()
			set, err := settings.Load(config, tuning)
			if err != nil {
				return err
			}
			slog.Info("starting", "node", string(set.Node), "bind", set.Bind)
			return server.Run(set)
		}}
	cmd.Flags().StringVar(&config, "config", "", "the platform's settings (TOML)")
	cmd.Flags().StringVar(&tuning, "tuning", os.Getenv("OPALDALE_TUNING"), "the operators' settings (S-expressions)")
	cmd.MarkFlagRequired("config")
	return cmd
}

// logging writes to stderr at the level of LOG_LEVEL.
func logging() {
	level := slog.LevelInfo
	if v := os.Getenv("LOG_LEVEL"); v != "" {
		if err := level.UnmarshalText([]byte(v)); err != nil {
			fmt.Fprintf(os.Stderr, "LOG_LEVEL %q is unknown; using info\n", v)
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}

func check() *cobra.Command {
	var tuning string
	cmd := &cobra.Command{Use: "settings", Short: "Work with settings"}
	sub := &cobra.Command{Use: "check FILE", Short: "Name every fault in a settings file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0], tuning); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are in order")
			return nil
		}}
	sub.Flags().StringVar(&tuning, "tuning", "", "the operators' settings (S-expressions)")
	cmd.AddCommand(sub)
	return cmd
}

func version() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rev := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						rev = s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "opaldale %s (%s)\n", release, rev)
			return nil
		}}
}

// release is the version in CHANGELOG.md that this tree leads up to.
const release = "0.1.0"
