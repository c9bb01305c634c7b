// Package propertytest has property tests draw the same cases in every run.
package propertytest

import (
	"flag"
	"testing"
)

// Main runs the tests of a package that uses rapid, and returns the exit code. Seeds given
// on the command line count.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
