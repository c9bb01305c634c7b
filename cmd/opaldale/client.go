package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"opaldale/internal/api"
)

// clientCommand talks to any node, once: whoever calls it decides whether to retry.
func clientCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{Use: "client", Short: "Submit, look up and cancel jobs"}
	cmd.PersistentFlags().StringVar(&addr, "addr", "127.0.0.1:8080", "address of a node or load balancer")
	call := func(cmd *cobra.Command, method, path string, body []byte) error {
		req, err := http.NewRequestWithContext(cmd.Context(), method, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(bytes.TrimSpace(b)))
		if resp.StatusCode >= 300 {
			if after := resp.Header.Get("Retry-After"); after != "" {
				return fmt.Errorf("%s, try again after %s s", resp.Status, after)
			}
			return fmt.Errorf("%s", resp.Status)
		}
		return nil
	}
	cmd.AddCommand(
		&cobra.Command{Use: "submit FILE", Short: "Submit a job from a JSON file, - for standard input", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				var body []byte
				var err error
				if args[0] == "-" {
					body, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), api.MaxBodyBytes+1))
				} else {
					body, err = os.ReadFile(args[0])
				}
				if err != nil {
					return err
				}
				if _, err := api.ParseSpec(body); err != nil {
					return err
				}
				return call(cmd, http.MethodPost, "/v2/runs", body)
			}},
		&cobra.Command{Use: "get ID", Short: "Show a job", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return call(cmd, http.MethodGet, "/v2/runs/"+url.PathEscape(args[0]), nil)
			}},
		&cobra.Command{Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return call(cmd, http.MethodPost, "/v2/runs/"+url.PathEscape(args[0])+"/cancel", nil)
			}},
	)
	return cmd
}
