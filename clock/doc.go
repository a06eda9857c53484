// Package clock provides the time source that every other package receives
// as an interface. Wall reads the machine's clock; Manual moves only when a
// test advances it, so that tests need no sleeps.
//
// It is the only package that reads the machine's clock.
package clock
