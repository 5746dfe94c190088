// Package quetzalseed fixes the seed of a package's property tests, so that every run
// of CI checks the same cases.
package quetzalseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a seed for rapid, unless the flag -rapid.seed
// sets another. It is called from TestMain and does not return.
func Main(m *testing.M, seed string) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
