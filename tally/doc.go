// Package tally counts the bytes that the connections of a network listener
// transfer, to measure the overhead of a protocol.
package tally
