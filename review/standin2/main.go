// Command standin2 runs one case of the second review: it starts the controllers as processes, plays the state service,
// the cloud, the workers and the users, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario sets up and plays a case. It returns the breaches of the rule, or an error if the case couldn't run.
type scenario struct {
	setUp func(*world)
	nodes int
	play  func(*world) (breaches []string, err error)
}

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", "../..", "the root of the repository")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	sc, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return exitFailed
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	command, err := deployRun(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "opaldale-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	absolute, _ := filepath.Abs(*root)
	w := &world{rec: rec, root: absolute, dir: dir, run: command, trouble: os.Getenv("TROUBLE") != "0", capacity: 2,
		boot: 1500 * time.Millisecond, listLag: 5 * time.Second,
		store: newStore(limits{valueBytes: 16 << 10, txnOps: 24, txnBytes: 64 << 10})}
	sc.setUp(w)
	rec.add("case %s, trouble %v", *name, w.trouble)
	defer w.stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		breaches []string
		err      error
	}
	results := make(chan result, 1)
	go func() {
		if err := w.start(sc.nodes); err != nil {
			results <- result{err: err}
			return
		}
		breaches, err := sc.play(w)
		results <- result{breaches, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(115 * time.Second):
		r.err = fmt.Errorf("the case took too long")
	}
	switch {
	case r.err != nil:
		rec.add("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return exitFailed
	case len(r.breaches) > 0:
		for _, b := range r.breaches {
			rec.add("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

// deployRun returns the command of the deploy file that starts a node.
func deployRun(root string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		return nil, fmt.Errorf("no run in the deploy file")
	}
	return strings.Fields(string(m[1])), nil
}

// smallLimits are settings of a small deployment.
func smallLimits(teams string, report, lease, cancel float64) string {
	return teams + fmt.Sprintf(`
[[cluster.objectives]]
kind = "finished"
class = "render"
within_s = 120.0
share = 0.9
[cluster.workers]
report_s = %.1f
lease_s = %.1f
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = %.1f
[cluster.state]
rps = 150.0
write_rps = 50.0
value_kb = 16.0
txn_ops = 16
[cluster.cloud]
rps = 6.0
list_lag_s = 5.0
[cluster.resources]
cores = 0.18
memory_mb = 234.0
sockets = 2500
`, report, lease, cancel)
}

const oneTeam = `
[[cluster.teams]]
name = "desk-a"
cpus = 240.0
cpus_max = 600.0
gpus = 0.0
gpus_max = 0.0
`

// guestTeam is a team without a guarantee and a limit.
const guestTeam = `
[[cluster.teams]]
name = "guest"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
`

func magnolia() machineType {
	return machineType{SKU: "magnolia-32", VCPUs: 32, Memory: 128, Local: 50, Pull: 0.5, Hourly: 1.57, Market: 0.36,
		Startup: 2, Sites: []string{"memphis-dc"}}
}

func delta(w *world) {
	w.model, w.report, w.lease, w.cancel = magnolia(), 3*time.Second, 26*time.Second, 56*time.Second
	w.limits = smallLimits(oneTeam, 3, 26, 56)
}
