package main

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"opaldale/internal/decode"
)

// reportCommand returns a command that prints a report of a node for operators, either with write or as the
// JSON that the node sent. name is the name of the command and the URL path of the report.
func reportCommand[T any](name, short string, write func(io.Writer, T) error) *cobra.Command {
	var addr string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
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
			if err := decode.JSON(body, &report); err != nil {
				return fmt.Errorf("%s: %w", addr, err)
			}
			return write(cmd.OutOrStdout(), report)
		},
	}
	cmd.Flags().StringVar(&addr, "addr", defaultAddr, "address of a node")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the JSON that the node sent")
	return cmd
}

// fetchReport requests a report from a node and returns its JSON.
func fetchReport(addr, name string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/"+name, nil)
	if err != nil {
		return nil, err
	}
	resp, body, err := sendRequest(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node %s: got status %s, want 200 OK", addr, resp.Status)
	}
	return body, nil
}
