package kvstoretest

import (
	"fmt"
	"strings"

	"opaldale/internal/kvstore"
)

// Describe puts a request into words: a line for the operation, and one for each condition and
// change of a transaction.
func Describe(r kvstore.Request) string {
	switch r.Op {
	case kvstore.Get:
		return fmt.Sprintf("get %s\n", r.Key)
	case kvstore.List:
		return fmt.Sprintf("list %s\n", r.Prefix)
	case kvstore.GrantLease:
		return fmt.Sprintf("grant %v\n", r.TTL)
	case kvstore.RenewLease:
		return fmt.Sprintf("extend %d\n", r.LeaseID)
	case kvstore.RevokeLease:
		return fmt.Sprintf("revoke %d\n", r.LeaseID)
	case kvstore.Watch:
		return fmt.Sprintf("follow %s from %d for %v\n", r.Prefix, r.Revision, r.Block)
	}
	return describeTransaction(r)
}

func describeTransaction(r kvstore.Request) string {
	var b strings.Builder
	b.WriteString("transaction\n")
	for _, c := range r.Compares {
		fmt.Fprintf(&b, "  if %s is at %d\n", c.Key, c.Revision)
	}
	for _, c := range r.Mutations {
		if c.Delete != "" {
			fmt.Fprintf(&b, "  delete %s\n", c.Delete)
			continue
		}
		fmt.Fprintf(&b, "  put %s under lease %d: %s\n", c.Put, c.LeaseID, c.Value)
	}
	return b.String()
}
