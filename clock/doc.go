// Package clock provides the time source that all other packages receive as an
// interface. Wall reads the system clock; Manual moves only when a test
// advances it, so that tests need no sleeps.
//
// It is the only package that reads the system clock.
package clock
