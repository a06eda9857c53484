// Package tally counts the bytes of a listener's connections, for measurements
// of what a protocol costs on the wire.
package tally
