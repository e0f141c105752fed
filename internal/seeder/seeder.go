// Package seeder fixes the random seed of property tests, so that every run tests
// the same cases and gives the same result.
package seeder

import (
	"flag"
	"os"
	"testing"
)

// Values for the flags of the rapid library: seed is the random seed, and
// checks is the number of random cases that the library generates for each
// property.
const (
	seed   = "20261204"
	checks = "1000"
)

// Main sets the seed and the number of cases, runs a package's tests and exits
// with their status. A package calls it from TestMain. Command-line flags are
// parsed later, so they override the values set here.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
