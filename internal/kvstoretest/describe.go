package kvstoretest

import (
	"fmt"
	"strings"

	"opaldale/internal/kvstore"
)

// Describe formats a request for golden files: one line for the operation, and for a transaction one line
// for each compare and mutation.
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
	case kvstore.Txn:
		return describeTransaction(r)
	}
	panic(fmt.Sprintf("kvstoretest: unknown operation %d", r.Op))
}

func describeTransaction(r kvstore.Request) string {
	var text strings.Builder
	text.WriteString("transaction\n")
	for _, compare := range r.Compares {
		fmt.Fprintf(&text, "  if %s is at %d\n", compare.Key, compare.Revision)
	}
	for _, mutation := range r.Mutations {
		if mutation.Delete != "" {
			fmt.Fprintf(&text, "  delete %s\n", mutation.Delete)
			continue
		}
		fmt.Fprintf(&text, "  put %s under lease %d: %s\n", mutation.Put, mutation.LeaseID, mutation.Value)
	}
	return text.String()
}
