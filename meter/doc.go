// Package meter counts events and times of a process by team and class, on a
// go-metrics registry, and shows them over HTTP as JSON or plain text.
//
// The number of distinct label values is bounded: callers choose some of
// them, and an unbounded set would exhaust the memory of a small host. Values
// beyond the bound are counted under the label "other".
package meter
