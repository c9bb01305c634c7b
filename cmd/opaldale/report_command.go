package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

const (
	// reportTimeout bounds the call of a node, and maxReportBytes what is read of its answer.
	reportTimeout  = 5 * time.Second
	maxReportBytes = 1 << 20
)

// reportCommand makes a command that shows what a node answers to a question of operators: as
// tables, or as it is. The question's path has the name of the command.
func reportCommand[T any](name, short string, write func(io.Writer, T) error) *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := fetchReport(addr, name)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = cmd.OutOrStdout().Write(body)
				return err
			}
			var report T
			if err := json.Unmarshal(body, &report); err != nil {
				return fmt.Errorf("%s: %w", addr, err)
			}
			return write(cmd.OutOrStdout(), report)
		}}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:8080", "address of a node")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the node's answer as it is")
	return cmd
}

func fetchReport(addr, name string) ([]byte, error) {
	resp, err := (&http.Client{Timeout: reportTimeout}).Get("http://" + addr + "/" + name)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", addr, resp.Status)
	}
	return body, nil
}
