// Package seeder sets a fixed seed and size for the rapid property tests of a package, so that every run
// has the same result.
package seeder

import (
	"flag"
	"fmt"
	"testing"
)

const seed = 1

// SetFlagDefaults sets the number of checks of a property, the number of steps in each, and the seed. The flags
// -rapid.checks, -rapid.steps and -rapid.seed on the command line take precedence, because SetFlagDefaults is called
// from init, before the command line is parsed. It panics if a flag is not defined.
func SetFlagDefaults(checks, steps int) {
	values := map[string]int{"rapid.checks": checks, "rapid.seed": seed, "rapid.steps": steps}
	for name, value := range values {
		if err := flag.Set(name, fmt.Sprint(value)); err != nil {
			panic(err)
		}
	}
}

// deadlineHider wraps a test in a type without the method Deadline, so that the deadline can't be read.
type deadlineHider struct {
	testing.TB
}

// WithoutDeadline wraps t so that its deadline can't be read. A property test in a synctest bubble needs this, because
// the bubble runs on virtual time and does not allow the test's deadline to be read.
func WithoutDeadline(t *testing.T) testing.TB {
	return deadlineHider{t}
}
