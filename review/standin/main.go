// Command standin plays the cases of the review. It starts the project's processes with the command of the deploy file,
// and stands in for the state service, the cloud, the workers, the users and the network between them.
//
//	standin CASE RECORD             plays a case; with TROUBLE=0 without its disruption
//	standin hunt RECORD SEED SECONDS [gangs]   plays random troubles, to look for cases
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the case couldn't run.
package main

import (
	"os"
	"strconv"
)

// cases maps the name of a case to the function that plays it and returns the exit code.
var cases = map[string]func(recordPath string, trouble bool) int{
	"twice":   twice,
	"folded":  folded,
	"blocked": blocked,
}

func main() {
	if len(os.Args) < 3 {
		cannot("usage: standin CASE RECORD")
	}
	if os.Args[1] == "hunt" {
		seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
		seconds, _ := strconv.Atoi(os.Args[4])
		os.Exit(hunt(os.Args[2], seed, seconds, len(os.Args) > 5))
	}
	play := cases[os.Args[1]]
	if play == nil {
		cannot("unknown case %q", os.Args[1])
	}
	os.Exit(play(os.Args[2], os.Getenv("TROUBLE") != "0"))
}
