package statetest

import (
	"fmt"
	"strings"

	"opaldale/internal/statesvc"
)

// Describe puts a request into words: a line for the operation, and one for each condition and
// change of a transaction.
func Describe(r statesvc.Request) string {
	switch r.Op {
	case statesvc.Get:
		return fmt.Sprintf("get %s\n", r.Path)
	case statesvc.List:
		return fmt.Sprintf("list %s\n", r.Starts)
	case statesvc.Grant:
		return fmt.Sprintf("grant %v\n", r.TTL)
	case statesvc.Extend:
		return fmt.Sprintf("extend %d\n", r.Grant)
	case statesvc.Revoke:
		return fmt.Sprintf("revoke %d\n", r.Grant)
	case statesvc.Follow:
		return fmt.Sprintf("follow %s from %d for %v\n", r.Starts, r.Ledger, r.Block)
	}
	return describeTransaction(r)
}

func describeTransaction(r statesvc.Request) string {
	var b strings.Builder
	b.WriteString("transaction\n")
	for _, c := range r.If {
		fmt.Fprintf(&b, "  if %s is at %d\n", c.Path, c.Stamp)
	}
	for _, c := range r.Then {
		if c.Delete != "" {
			fmt.Fprintf(&b, "  delete %s\n", c.Delete)
			continue
		}
		fmt.Fprintf(&b, "  put %s under lease %d: %s\n", c.Put, c.Grant, c.Value)
	}
	return b.String()
}
