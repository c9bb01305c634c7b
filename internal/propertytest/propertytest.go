// Package propertytest makes property tests that use rapid generate the same cases in every run.
// Only tests may import it.
package propertytest

import (
	"flag"
	"maps"
	"strconv"
	"testing"
)

// defaults are the default values of flags that replace those of rapid: a fixed seed, and no
// files with failed cases in the source tree.
var defaults = map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}

// Main runs the tests of a package that uses rapid and returns the exit code. The TestMain of the
// package calls it. Flags on the command line that differ from rapid's defaults take precedence.
func Main(m *testing.M) int { return run(m, defaults) }

// MainWithChecks is like Main, but each property is checked with the given number of cases.
func MainWithChecks(m *testing.M, checks int) int {
	values := maps.Clone(defaults)
	values["rapid.checks"] = strconv.Itoa(checks)
	return run(m, values)
}

func run(m *testing.M, values map[string]string) int {
	flag.Parse()
	for name, value := range values {
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
