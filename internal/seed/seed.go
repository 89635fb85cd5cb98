// Package seed fixes the seed of property tests, so that they give the same result on every run. Tests import it for its
// side effect. To search further, override the seed on the command line: with -rapid.seed=0 rapid picks a new one, for
// example go test ./internal/node -rapid.seed=0 -rapid.checks=5000.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
