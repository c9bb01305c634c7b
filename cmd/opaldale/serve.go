package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"opaldale/internal/server"
	"opaldale/internal/settings"
)

// Environment variables that the serve command reads.
const (
	logLevelVariable = "LOG_LEVEL"
	tuningVariable   = "OPALDALE_TUNING" // default path of the tuning file
)

// tuningUsage is the help text of the flag --tuning.
const tuningUsage = "file with the operators' settings (S-expressions)"

func serveCommand() *cobra.Command {
	var configPath, tuningPath string
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a controller",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(configPath, tuningPath) },
	}
	cmd.Flags().StringVar(&configPath, "config", "", "file with the platform's settings (TOML)")
	cmd.Flags().StringVar(&tuningPath, "tuning", os.Getenv(tuningVariable), tuningUsage)
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // happens only if the flag is not defined
	}
	return cmd
}

// serve runs a controller. It returns only if the settings are invalid or the controller fails.
func serve(configPath, tuningPath string) error {
	configureLogging()
	loaded, err := settings.Load(configPath, tuningPath)
	if err != nil {
		return err
	}
	slog.Info("starting controller", "node", loaded.Node, "addr", loaded.Bind)
	return server.Run(loaded)
}

// configureLogging configures logging to standard error, at the level in the environment variable LOG_LEVEL.
func configureLogging() {
	level := slog.LevelInfo
	if v := os.Getenv(logLevelVariable); v != "" {
		if err := level.UnmarshalText([]byte(v)); err != nil {
			fmt.Fprintf(os.Stderr, "%s %q is unknown; using info\n", logLevelVariable, v)
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}
