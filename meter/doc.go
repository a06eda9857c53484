// Package meter collects the metrics of a process by team and class in a
// go-metrics registry and serves them over HTTP as JSON or plain text.
//
// The number of distinct label values is bounded, because callers choose some
// of them and an unbounded number would exhaust the memory of a small host.
// Values beyond the bound are counted under the label "other".
package meter
