package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// fakeNode is a node that serves one report.
type fakeNode struct {
	t      *testing.T // set by runAgainst
	path   string
	status int
	report any
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.path {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(n.status)
	if err := json.NewEncoder(w).Encode(n.report); err != nil {
		n.t.Error(err)
	}
}

// runAgainst returns a function that runs a command against a node and returns the command's output.
func runAgainst(t *testing.T, node *fakeNode, command func() *cobra.Command) func(args ...string) (string, error) {
	t.Helper()
	node.t = t
	web := httptest.NewServer(node)
	t.Cleanup(web.Close)
	return func(args ...string) (string, error) {
		cmd := command()
		var out strings.Builder
		cmd.SetOut(&out)
		cmd.SetArgs(append(args, "--addr", strings.TrimPrefix(web.URL, "http://")))
		err := cmd.Execute()
		return out.String(), err
	}
}
