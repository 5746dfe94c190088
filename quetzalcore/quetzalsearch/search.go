// Package quetzalsearch fixes the seed of the random searches of a package's tests, so that
// they are the same in every run of CI. A seed on the command line goes first.
package quetzalsearch

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package. It is called from TestMain and does not return.
func Main(m *testing.M, seed string) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
