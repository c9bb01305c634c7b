package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"

	"opaldale/internal/api"
)

const (
	// defaultAddr is the default of the flag --addr.
	defaultAddr = "127.0.0.1:8080"
	// clientTimeout is the maximum time for a request to a node, including reading the response.
	clientTimeout = 5 * time.Second
	// maxResponseBytes is the number of bytes after which a response body is truncated.
	maxResponseBytes = 1 << 20

	jobsPath = "/v2/runs"
	// standardInput is the file name that denotes standard input.
	standardInput = "-"
)

// apiClient sends user requests to a node. It never retries; the user of the command decides on retries.
type apiClient struct{ addr string }

// clientCommand returns the command that contains the commands for users.
func clientCommand() *cobra.Command {
	client := &apiClient{}
	cmd := &cobra.Command{Use: "client", Short: "Submit, look up and cancel jobs"}
	cmd.PersistentFlags().StringVar(&client.addr, "addr", defaultAddr, "address of a node or load balancer")
	cmd.AddCommand(submitCommand(client), getCommand(client), cancelCommand(client))
	return cmd
}

func submitCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job from a JSON file, - for standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readSpec(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			return client.call(cmd, http.MethodPost, jobsPath, body)
		},
	}
}

func getCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "get ID",
		Short: "Show a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.call(cmd, http.MethodGet, jobPath(args[0]), nil)
		},
	}
}

func cancelCommand(client *apiClient) *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.call(cmd, http.MethodPost, jobPath(args[0])+"/cancel", nil)
		},
	}
}

// jobPath returns the URL path of a job in the API.
func jobPath(id string) string { return jobsPath + "/" + url.PathEscape(id) }

// readSpec reads and validates a job specification from a file or from standard input.
func readSpec(stdin io.Reader, path string) ([]byte, error) {
	var body []byte
	var err error
	if path == standardInput {
		// Read one byte more than the limit, so that a specification over the limit is detected.
		body, err = io.ReadAll(io.LimitReader(stdin, api.MaxBodyBytes+1))
	} else {
		body, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	if _, err := api.ParseSpec(body); err != nil {
		return nil, err
	}
	return body, nil
}

// call sends a request and prints the body of the response. It returns an error if the status of the
// response is not a success.
func (c *apiClient) call(cmd *cobra.Command, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(cmd.Context(), method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, responseBody, err := sendRequest(req)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), string(bytes.TrimSpace(responseBody)))
	return statusError(resp)
}

// sendRequest sends a request to a node. It returns the response, whose Body is already closed, and the
// content of the body.
func sendRequest(req *http.Request) (*http.Response, []byte, error) {
	resp, err := (&http.Client{Timeout: clientTimeout}).Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}

// statusError returns an error with the status of the response, or nil if the status is a success.
func statusError(resp *http.Response) error {
	if resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	if after := resp.Header.Get("Retry-After"); after != "" {
		return fmt.Errorf("%s, try again after %s s", resp.Status, after)
	}
	return errors.New(resp.Status)
}
