package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"opaldale/internal/controller"
	"opaldale/internal/golden"
	"opaldale/internal/linktracker"
)

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "OPALDALE_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// execute runs the command and returns its output and exit code. It replaces ADDR in args by addr.
func execute(t *testing.T, addr string, environment []string, args ...string) string {
	t.Helper()
	substituted := make([]string, len(args))
	for i, a := range args {
		substituted[i] = strings.ReplaceAll(a, "ADDR", addr)
	}
	cmd := exec.Command(os.Args[0], substituted...)
	cmd.Env = append([]string{runMainVariable + "=1", "GOCOVERDIR=" + t.TempDir()}, environment...)
	var stdout, stderr strings.Builder
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("%sexit %d, on standard error:\n%s", stdout.String(), cmd.ProcessState.ExitCode(), stderr.String())
	if addr != "" {
		text = strings.ReplaceAll(text, addr, "ADDR")
	}
	return text
}

// TestGoldenHelp pins the names and help texts of commands and flags.
func TestGoldenHelp(t *testing.T) {
	var d golden.Document
	for _, command := range []string{
		"", "serve", "settings", "settings check", "client", "client submit", "client get", "client cancel",
		"links", "moves", "version",
	} {
		d.Add("opaldale "+command+" --help", execute(t, "", nil, append(strings.Fields(command), "--help")...))
	}
	d.Add("tuning by the environment", execute(t, "", []string{"OPALDALE_TUNING=ours.sexp"}, "serve", "--help"))
	d.Compare(t, "help")
}

// TestGoldenSettings pins the output of settings check, and of commands that fail.
func TestGoldenSettings(t *testing.T) {
	var d golden.Document
	for _, line := range []string{
		"settings check testdata/settings.toml",
		"settings check testdata/settings.toml --tuning testdata/tuning.sexp",
		"settings check testdata/settings.toml --tuning testdata/broken.sexp",
		"settings check testdata/settings.toml --tuning testdata/bounds.sexp",
		"settings check testdata/broken.toml",
		"settings check testdata/missing.toml",
		"settings check",
		"serve",
		"serve --config testdata/broken.toml",
		"client submit testdata/tuning.sexp",
		"client submit testdata/missing.json",
		"client get",
		"nonsense",
		"links --nonsense",
	} {
		d.Add("opaldale "+line, execute(t, "", nil, strings.Fields(line)...))
	}
	d.Add("unknown level of the log", execute(t, "", []string{"LOG_LEVEL=loud"}, "serve", "--config", "testdata/missing.toml"))
	d.Compare(t, "settings")
}

// goldenNode sends the same response to all requests, and records the last request.
type goldenNode struct {
	status      int
	retryAfter  string
	body        string
	mu          sync.Mutex
	lastRequest string
}

func (n *goldenNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	n.lastRequest = fmt.Sprintf("%s %s %s\n%s\n", r.Method, r.URL, r.Header.Get("Content-Type"), body)
	n.mu.Unlock()
	if n.retryAfter != "" {
		w.Header().Set("Retry-After", n.retryAfter)
	}
	w.WriteHeader(n.status)
	io.WriteString(w, n.body)
}

// request returns the last request that the node received.
func (n *goldenNode) request() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastRequest
}

// TestGoldenClient pins the requests that the client commands send, and their output.
func TestGoldenClient(t *testing.T) {
	var d golden.Document
	lines := []string{
		"client submit testdata/job.json", "client get j-000412", "client cancel j-000412", "client get a/b",
		"links --json", "moves --json", "links", "moves",
	}
	for _, node := range []*goldenNode{
		{status: http.StatusOK, body: `{"id":"j-000412","status":"queued"}` + "\n"},
		{status: http.StatusNotFound, body: `{"error":"no such job"}`},
		{status: http.StatusServiceUnavailable, retryAfter: "2", body: `{"error":"overloaded"}`},
	} {
		web := httptest.NewServer(node)
		addr := strings.TrimPrefix(web.URL, "http://")
		for _, line := range lines {
			printed := execute(t, addr, nil, strings.Fields(line+" --addr ADDR")...)
			d.Add(fmt.Sprintf("%d: opaldale %s", node.status, line), node.request()+printed)
		}
		web.Close()
	}
	d.Compare(t, "client")
}

// TestGoldenTables pins the tables that are printed for reports with all fields set.
func TestGoldenTables(t *testing.T) {
	var d golden.Document
	var b strings.Builder
	for v := range golden.BoolVariants {
		links, moves := golden.Filled[linktracker.Report](v), golden.Filled[controller.MoveReport](v)
		links.Enabled = true
		if err := writeLinks(&b, links); err != nil {
			t.Error(err)
		}
		if err := writeMoves(&b, moves); err != nil {
			t.Error(err)
		}
	}
	d.Add("filled", b.String())
	d.Compare(t, "tables")
}
